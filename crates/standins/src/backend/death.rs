//! What a backend server does when told to die.

/// What a backend server does when told to die.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Death {
    /// Cuts its connections and frees its port; for one that runs within another process.
    #[default]
    StopServer,
    /// Ends the whole process with [`Death::EXIT_CODE`].
    ExitProcess,
}

impl Death {
    /// Exit code of a process that was told to die.
    pub const EXIT_CODE: i32 = 9;
}

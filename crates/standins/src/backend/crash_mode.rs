//! How a backend server crashes on request.

/// How a backend server crashes when the `die` fault is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// Closes its connections and frees its port; for a server embedded in another process.
    #[default]
    StopServer,
    /// Ends the whole process with [`CrashMode::EXIT_CODE`].
    ExitProcess,
}

impl CrashMode {
    /// Exit code of a process that crashes on request.
    pub const EXIT_CODE: i32 = 9;
}

//! How the program ends.

use std::process::ExitCode;

/// Exit codes of `amaranthctl`, for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Arguments or files that cannot be read.
    Usage = 2,
    /// Refused by a check, here or at the entry.
    Refused = 3,
    /// Another edit came first.
    Conflict = 4,
    /// The entry cannot be reached, or its answer was lost.
    Unreachable = 5,
    /// The operator's key is wrong.
    WrongKey = 6,
}

impl ExitStatus {
    /// The number that the shell sees.
    #[must_use]
    pub const fn number(self) -> u8 {
        self as u8
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.number())
    }
}

//! Exit codes.

use std::process::ExitCode;

/// Exit codes of `amaranthctl`, for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Success.
    Done = 0,
    /// Arguments or files are not valid.
    Usage = 2,
    /// Refused by a check in the program or at the entry.
    Refused = 3,
    /// Another edit was made first.
    Conflict = 4,
    /// The entry cannot be reached, or its answer was lost.
    Unreachable = 5,
    /// The operator's key is wrong.
    WrongKey = 6,
}

impl ExitStatus {
    /// The exit code as a number.
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

//! What a caller got for one request.

use std::fmt;
use std::time::Duration;

/// What a caller got for one request, over all its tries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Organisation that asked.
    pub organisation: String,
    /// Class of that organisation.
    pub class: String,
    /// Marker that the request carried.
    pub marker: String,
    /// Number of the last result code; 0 if no answer came.
    pub code: u16,
    /// Whether the request ran, as the answer says.
    pub ran: String,
    /// Whether a complete answer was the request's own, and whole.
    pub is_correct: bool,
    /// Tries that the caller made.
    pub tries: u32,
    /// Result codes of the tries after which the caller came back.
    pub refused_codes: Vec<u16>,
    /// Time within which the caller wanted its answer.
    pub deadline: Duration,
    /// Time from the first try to the last answer.
    pub elapsed: Duration,
    /// Start of the answer's text.
    pub text: String,
}

impl CallerAnswer {
    /// Whether the request was answered in full.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.code == 1000
    }

    /// Whether the request was answered in full and within its deadline.
    #[must_use]
    pub fn is_attained(&self) -> bool {
        self.is_complete() && self.is_correct && self.elapsed <= self.deadline
    }
}

impl fmt::Display for CallerAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}) {} code {} after {} tries in {} ms: {}",
            self.organisation,
            self.class,
            self.marker,
            self.code,
            self.tries,
            self.elapsed.as_millis(),
            self.text
        )
    }
}

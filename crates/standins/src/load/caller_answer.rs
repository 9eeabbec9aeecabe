//! Final result of one caller's request.

use std::fmt;
use std::time::Duration;

/// Final result of one request, over all its tries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Organisation of the caller.
    pub organisation: String,
    /// Class of that organisation.
    pub class: String,
    /// Marker in the request.
    pub marker: String,
    /// Number of the last result code; 0 without an answer.
    pub code: u16,
    /// Whether the request ran, as stated in the answer.
    pub ran: String,
    /// Whether the answer was complete and belonged to this request.
    pub is_correct: bool,
    /// Number of tries.
    pub tries: u32,
    /// Result codes of the tries that the caller retried.
    pub retried_codes: Vec<u16>,
    /// Time within which the caller expected its answer.
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

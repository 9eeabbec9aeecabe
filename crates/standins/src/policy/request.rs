//! One request of a run.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::HostId;

/// A request from its first ask to its final answer.
#[derive(Debug)]
pub(super) struct Request {
    /// Organisation that asks.
    pub(super) organisation: usize,
    /// Pipeline that it asks for.
    pub(super) pipeline: usize,
    /// Entry that has the present ask.
    pub(super) entry: usize,
    /// When it was asked first.
    pub(super) asked_at: Duration,
    /// When its answer becomes useless.
    pub(super) deadline: Duration,
    /// Whether it is about a long case file.
    pub(super) is_long: bool,
    /// Asks so far.
    pub(super) ask: u32,
    /// Whether an ask waits for its answer.
    pub(super) is_open: bool,
    /// Whether the present ask counts against the organisation's limit.
    pub(super) is_admitted: bool,
    /// Present stage.
    pub(super) stage: usize,
    /// Attempts of the present ask.
    pub(super) attempts: Vec<usize>,
    /// Attempts of the present stage that the entry waits for.
    pub(super) waiting: Vec<usize>,
    /// Hosts tried at the present stage.
    pub(super) tried: Vec<HostId>,
    /// Attempts so far, over all asks; numbers the next.
    pub(super) attempts_made: u32,
    /// Fresh requests that its caller made after failures before it.
    pub(super) repeats: u32,
    /// Final answer and when it came.
    pub(super) answer: Option<(ResultCode, Duration)>,
}

impl Request {
    /// Whether the whole answer came in time.
    pub(super) fn is_attained(&self) -> bool {
        matches!(self.answer, Some((ResultCode::Complete, at)) if at <= self.deadline)
    }
}

//! One request of a run.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::HostId;

/// A request from its first try to its final answer.
#[derive(Debug)]
pub(super) struct Request {
    /// Organisation of the request.
    pub(super) organisation: usize,
    /// Pipeline of the request.
    pub(super) pipeline: usize,
    /// Entry of the current try.
    pub(super) entry: usize,
    /// When it was first sent.
    pub(super) first_sent_at: Duration,
    /// When its answer becomes worthless.
    pub(super) deadline: Duration,
    /// Whether it is about a long case file.
    pub(super) is_long: bool,
    /// Number of tries so far.
    pub(super) try_number: u32,
    /// Whether a try waits for its answer.
    pub(super) is_open: bool,
    /// Whether the current try counts against the organisation's limit.
    pub(super) is_admitted: bool,
    /// Current stage.
    pub(super) stage: usize,
    /// Attempts of the current try.
    pub(super) attempts: Vec<usize>,
    /// Attempts of the current stage that the entry waits for.
    pub(super) waiting: Vec<usize>,
    /// Hosts tried for the current stage.
    pub(super) tried: Vec<HostId>,
    /// Number of attempts so far, over all tries; the number of the next one.
    pub(super) attempts_made: u32,
    /// Number of earlier failed requests that this one repeats.
    pub(super) repeats: u32,
    /// Final answer and its time.
    pub(super) answer: Option<(ResultCode, Duration)>,
}

impl Request {
    /// Whether the complete answer arrived in time.
    pub(super) fn is_attained(&self) -> bool {
        matches!(self.answer, Some((ResultCode::Complete, at)) if at <= self.deadline)
    }
}

//! The scheduler's part of `/status`.

use serde::Serialize;

/// The scheduler's part of `/status`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(in crate::sidecar) struct SchedulerStatus {
    /// Queued attempts.
    pub(in crate::sidecar) queued: usize,
    /// Attempts running at the backend server.
    pub(in crate::sidecar) running: usize,
    /// Attempts in the ledger.
    pub(in crate::sidecar) ledger_entries: usize,
    /// Answers in memory.
    pub(in crate::sidecar) answers: usize,
    /// Bytes of ended answers in memory.
    pub(in crate::sidecar) kept_result_bytes: usize,
}

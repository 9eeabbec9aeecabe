//! Figures of the gate for `/status`.

use serde::Serialize;

/// Figures of the gate for `/status`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(in crate::sidecar) struct GateFigures {
    /// Attempts that wait.
    pub(in crate::sidecar) queued: usize,
    /// Attempts at the backend server.
    pub(in crate::sidecar) running: usize,
    /// Attempts in the ledger.
    pub(in crate::sidecar) ledger_entries: usize,
    /// Answers in memory.
    pub(in crate::sidecar) answers: usize,
    /// Bytes of ended answers in memory.
    pub(in crate::sidecar) kept_result_bytes: usize,
}

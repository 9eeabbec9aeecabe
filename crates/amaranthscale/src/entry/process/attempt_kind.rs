//! Reason for an attempt, which decides the budget that it is charged to.

/// Reason for an attempt, which decides the budget that it is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt of its stage; adds to the retry and hedge budgets.
    First,
    /// Replaces an attempt that never reached its sidecar; not charged.
    Resend,
    /// Follows an attempt that ended without a result; charged to the retry budget.
    Retry,
    /// Runs in parallel with a slow attempt; charged to the hedge budget.
    Hedge,
}

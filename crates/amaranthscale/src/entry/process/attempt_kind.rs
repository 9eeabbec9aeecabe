//! Why an attempt is sent, and so which budget pays for it.

/// Why an attempt is sent, and so which budget pays for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first of its stage; earns a share of a retry and of a hedge.
    First,
    /// Sent anew after an attempt that never reached its sidecar; free.
    Resend,
    /// Sent after an attempt that ended without a result; the retry budget pays.
    Retry,
    /// Sent beside an attempt that takes long; the budget of hedges pays.
    Hedge,
}

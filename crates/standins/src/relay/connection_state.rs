//! State of a relayed connection.

/// State of a relayed connection; the variants are in the order in which it advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionState {
    /// Bytes are relayed.
    Open,
    /// No bytes are relayed any more, and neither end is notified.
    Silent,
    /// Both ends are closed.
    Cut,
}

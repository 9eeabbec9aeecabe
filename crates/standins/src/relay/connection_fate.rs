//! What becomes of a relayed connection.

/// What becomes of a relayed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionFate {
    /// Bytes pass.
    Open,
    /// Nothing passes any more, and neither end is told.
    Silent,
    /// Both ends are closed.
    Cut,
}

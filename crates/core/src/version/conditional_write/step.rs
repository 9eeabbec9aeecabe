//! Events and steps of a conditional write.

use crate::wire::{Row, TransactionReply};

/// Event in the course of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteEvent {
    /// The table replied to the transaction.
    Replied(TransactionReply),
    /// No reply came; the write may have taken effect, or may still do so.
    Lost,
    /// The row as read after a lost reply.
    ReadBack(Row),
    /// The read got no reply.
    ReadLost,
}

/// Next step of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Send the transaction, again if it was sent before.
    Send,
    /// Read the row.
    ReadBack,
    /// Our write took effect and is the current row.
    Won {
        /// The row as we wrote it.
        row: Row,
    },
    /// Our write took effect and was replaced by another one.
    Superseded {
        /// The row that replaced ours.
        row: Row,
    },
    /// Our write did not take effect and never will.
    LostTo {
        /// The row that was written instead, or the newer row that fails a check.
        row: Row,
    },
    /// Our write can no longer take effect; the row does not show whether it did.
    Undecided {
        /// The row as it is now.
        row: Row,
    },
}

impl WriteStep {
    /// Whether the write is settled.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        !matches!(self, Self::Send | Self::ReadBack)
    }
}

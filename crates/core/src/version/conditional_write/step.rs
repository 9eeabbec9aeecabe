//! What a conditional write hears, and what it asks for.

use crate::wire::{Row, TransactionReply};

/// What happened to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteEvent {
    /// The table answered.
    Replied(TransactionReply),
    /// No answer came; the write may have taken effect, or may yet.
    Lost,
    /// The row as read after a lost answer.
    ReadBack(Row),
    /// The read brought no answer.
    ReadLost,
}

/// What to do next about a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Send the same transaction, again if it was sent before.
    Send,
    /// Read the row.
    ReadBack,
    /// Our write took effect, and the row still shows it.
    Won {
        /// The row as we wrote it.
        row: Row,
    },
    /// Our write took effect, and another has replaced it since.
    Superseded {
        /// The row of the writer that replaced ours.
        row: Row,
    },
    /// Our write did not take effect and never will.
    LostTo {
        /// The row that overtook us.
        row: Row,
    },
    /// Our write can no longer take effect; whether it did is no longer visible.
    Undecided {
        /// The row as it is now.
        row: Row,
    },
}

impl WriteStep {
    /// Whether nothing is left to do.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        !matches!(self, Self::Send | Self::ReadBack)
    }
}

//! Order in which the runs of one engine are moved.

use std::cmp::Reverse;

use crate::process::Rank;

/// Place of a run among those of its engine that are to be moved; the least one is moved first.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{MoveOrder, Rank};
///
/// assert!(MoveOrder::of_slow(10) < MoveOrder::of_slow(400));
/// let (urgent, other) = (Rank::default(), Rank { organisation: 1, route: 0 });
/// assert!(MoveOrder::of_uneven(urgent, 10) < MoveOrder::of_uneven(other, 400));
/// assert!(MoveOrder::of_uneven(other, 400) < MoveOrder::of_uneven(other, 10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveOrder {
    /// From a slow engine: the run that ends first elsewhere comes first.
    Slow {
        /// Tokens that it has still to write.
        tokens_left: u64,
    },
    /// From a full engine: the most urgent run comes first, and then the one that would occupy the
    /// engine the longest.
    Uneven {
        /// Its rank.
        rank: Rank,
        /// Tokens that it has still to write.
        tokens_left: Reverse<u64>,
    },
}

impl MoveOrder {
    /// Order at a slow engine.
    #[must_use]
    pub const fn of_slow(tokens_left: u64) -> Self {
        Self::Slow { tokens_left }
    }

    /// Order at a full engine.
    #[must_use]
    pub const fn of_uneven(rank: Rank, tokens_left: u64) -> Self {
        Self::Uneven {
            rank,
            tokens_left: Reverse(tokens_left),
        }
    }
}

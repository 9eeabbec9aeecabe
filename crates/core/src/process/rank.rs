//! Urgency of a request relative to others.

use serde::{Deserialize, Serialize};

/// Urgency as set by operators: by organisation first, then by route.
///
/// Zero is the most urgent in both.
///
/// ```
/// use amaranthscale_core::process::Rank;
///
/// let paid = Rank { organisation: 0, route: 2 };
/// let trial = Rank { organisation: 1, route: 0 };
/// assert!(paid < trial);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Rank of the organisation.
    pub organisation: u8,
    /// Rank of the route.
    pub route: u8,
}

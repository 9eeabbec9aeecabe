//! How urgent a request is against others.

use serde::{Deserialize, Serialize};

/// Urgency by those who may say so: the organisation's first, among equals the route's.
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
    /// What operators gave the organisation.
    pub organisation: u8,
    /// What operators gave the route.
    pub route: u8,
}

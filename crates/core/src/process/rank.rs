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

/// Urgency classes of one organisation's routes.
const CLASSES_PER_ORGANISATION: u8 = 3;
/// Organisation ranks with classes of their own; all later ones share the last class.
const RANKED_ORGANISATIONS: u8 = 3;

impl Rank {
    /// Class from 0, the most urgent, to 9, in which an engine admits and preempts requests.
    ///
    /// Routes beyond the third share a class, so that no route of a less urgent organisation comes
    /// before one of a more urgent organisation.
    ///
    /// ```
    /// use amaranthscale_core::process::Rank;
    ///
    /// assert_eq!(Rank { organisation: 1, route: 2 }.urgency_class(), 5);
    /// ```
    #[must_use]
    pub const fn urgency_class(self) -> u8 {
        if self.organisation >= RANKED_ORGANISATIONS {
            return CLASSES_PER_ORGANISATION * RANKED_ORGANISATIONS;
        }
        let route = if self.route < CLASSES_PER_ORGANISATION {
            self.route
        } else {
            CLASSES_PER_ORGANISATION - 1
        };
        CLASSES_PER_ORGANISATION * self.organisation + route
    }
}

//! Coarse classes of the engines' speed.

use serde::{Deserialize, Serialize};

/// Steps by which the speed doubles.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// Slowest and fastest class: a quarter and four times the usual speed.
const MAX_STEP: i8 = 4;
/// Distance from a class, in steps, from which an engine changes to another one; more than half a
/// step, so that an estimate at the boundary between two classes does not move subjects back and
/// forth.
const MIN_DISTANCE: f64 = 0.8;

/// An engine's speed relative to the median of its service, in steps of a factor of the square root
/// of two.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SpeedClass(i8);

impl SpeedClass {
    /// The class of the median.
    pub const USUAL: Self = Self(0);

    /// The class after a new estimate of the speed relative to the median; the same one while the
    /// estimate is near it.
    #[must_use]
    pub fn after(self, relative_speed: f64) -> Self {
        let steps = relative_speed.log2() * STEPS_PER_DOUBLING;
        if !steps.is_finite() || (steps - f64::from(self.0)).abs() < MIN_DISTANCE {
            return self;
        }
        let nearest = (-MAX_STEP..=MAX_STEP).min_by(|a, b| {
            let distance = |step: &i8| (steps - f64::from(*step)).abs();
            distance(a).total_cmp(&distance(b))
        });
        Self(nearest.unwrap_or(0))
    }

    /// Whether the class is one that [`SpeedClass::after`] gives, as a peer may send anything.
    #[must_use]
    pub const fn is_valid(self) -> bool {
        self.0 >= -MAX_STEP && self.0 <= MAX_STEP
    }

    /// Weight in the rendezvous hash of shared prefixes.
    #[must_use]
    pub fn weight(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }
}

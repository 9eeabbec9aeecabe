//! The mechanisms that a run uses.

use std::collections::BTreeSet;

use super::Mechanism;

/// A set of mechanisms.
///
/// # Examples
///
/// ```
/// use amaranthscale_standins::policy::{Mechanism, Mechanisms};
///
/// let mechanisms = Mechanisms::design().without(Mechanism::Hedges);
/// assert!(!mechanisms.has(Mechanism::Hedges));
/// assert!(mechanisms.has(Mechanism::Admission));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mechanisms(BTreeSet<Mechanism>);

impl Mechanisms {
    /// Random routing, first come first served, unlimited retries, no admission.
    #[must_use]
    pub const fn baseline() -> Self {
        Self(BTreeSet::new())
    }

    /// All mechanisms of the design.
    #[must_use]
    pub fn design() -> Self {
        Self(BTreeSet::from(Mechanism::ALL))
    }

    /// The same set without one mechanism.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.0.remove(&mechanism);
        self
    }

    /// Whether a mechanism is used.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.0.contains(&mechanism)
    }
}

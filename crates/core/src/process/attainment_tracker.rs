//! Attainment by class and organisation.

use std::collections::BTreeMap;

use super::AttainmentCounts;
use crate::ResultCode;
use crate::id::OrganisationId;
use crate::unit::Class;

/// Counts each request's final answer.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::ResultCode;
/// use amaranthscale_core::process::AttainmentTracker;
/// use amaranthscale_core::unit::Class;
///
/// let mut tracker = AttainmentTracker::default();
/// let organisation = "delta-basin".parse().unwrap();
/// tracker.record(Class::Paid, &organisation, ResultCode::Complete, true);
/// tracker.record(Class::Paid, &organisation, ResultCode::QueueFull, true);
/// assert_eq!(tracker.class(Class::Paid).attainment_basis_points(), Some(5_000));
/// ```
#[derive(Debug, Default)]
pub struct AttainmentTracker {
    counts: BTreeMap<(Class, OrganisationId), AttainmentCounts>,
}

impl AttainmentTracker {
    /// Counts one final answer.
    pub fn record(
        &mut self,
        class: Class,
        organisation: &OrganisationId,
        code: ResultCode,
        is_in_deadline: bool,
    ) {
        let counts = self
            .counts
            .entry((class, organisation.clone()))
            .or_default();
        counts.add(code, is_in_deadline);
    }

    /// Counts of one class.
    #[must_use]
    pub fn class(&self, class: Class) -> AttainmentCounts {
        let mut sum = AttainmentCounts::default();
        for ((_, _), counts) in self.counts.iter().filter(|((of, _), _)| *of == class) {
            sum.add_counts(counts);
        }
        sum
    }

    /// Counts by class and organisation, in order.
    pub fn by_organisation(
        &self,
    ) -> impl Iterator<Item = (Class, &OrganisationId, &AttainmentCounts)> {
        self.counts
            .iter()
            .map(|((class, organisation), counts)| (*class, organisation, counts))
    }
}

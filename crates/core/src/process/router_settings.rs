//! Settings of the router.

use std::time::Duration;

use crate::id::ZoneId;

/// How an entry chooses hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Availability zone of the entry.
    pub own_zone: ZoneId,
    /// Hosts of a service that this entry uses.
    pub subset_size: usize,
    /// Load per slot at which work spills into other availability zones.
    pub spill_load: f64,
    /// Whether the less loaded of two is chosen; else any one.
    pub has_two_choices: bool,
    /// Whether stragglers and failing hosts are ejected.
    pub has_ejection: bool,
    /// Multiple of the service's median time at which a host is a straggler.
    pub straggler_factor: f64,
    /// Failures in a row at which a host is ejected.
    pub failures_to_eject: u32,
    /// Time for which a host is first ejected; doubles with each failed probe.
    pub ejection: Duration,
    /// Longest time of an ejection.
    pub max_ejection: Duration,
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// Time without an answer after which a host with work in flight is avoided.
    pub silence: Duration,
}

impl RouterSettings {
    /// The usual settings in an availability zone.
    #[must_use]
    pub const fn new(own_zone: ZoneId) -> Self {
        Self {
            own_zone,
            // Covers every service of today whole; subsets are for hundreds of hosts.
            subset_size: 24,
            spill_load: 0.7,
            has_two_choices: true,
            has_ejection: true,
            straggler_factor: 3.0,
            failures_to_eject: 3,
            ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(1),
            report_half_life: Duration::from_secs(1),
            silence: Duration::from_secs(2),
        }
    }

    /// Uses so many hosts of each service.
    #[must_use]
    pub const fn with_subset_size(mut self, subset_size: usize) -> Self {
        self.subset_size = subset_size;
        self
    }

    /// Chooses the less loaded of two hosts, or any one.
    #[must_use]
    pub const fn with_two_choices(mut self, has_two_choices: bool) -> Self {
        self.has_two_choices = has_two_choices;
        self
    }

    /// Ejects stragglers and failing hosts, or does not.
    #[must_use]
    pub const fn with_ejection(mut self, has_ejection: bool) -> Self {
        self.has_ejection = has_ejection;
        self
    }

    /// Spills into other availability zones at this load per slot.
    #[must_use]
    pub const fn with_spill_load(mut self, spill_load: f64) -> Self {
        self.spill_load = spill_load;
        self
    }
}

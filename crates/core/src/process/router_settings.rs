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
    /// Whether the less loaded of two sampled hosts is chosen; otherwise a random one.
    pub has_two_choices: bool,
    /// Whether stragglers and failing hosts are ejected.
    pub has_ejection: bool,
    /// Multiple of the service's median time at which a host is a straggler.
    pub straggler_factor: f64,
    /// Consecutive failures from which a host is ejected.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; doubles with each failed probe.
    pub ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// Time without an answer after which a host with work in flight is avoided.
    pub unresponsive_after: Duration,
}

impl RouterSettings {
    /// The default settings in an availability zone.
    #[must_use]
    pub const fn new(own_zone: ZoneId) -> Self {
        Self {
            own_zone,
            // Covers all hosts of today's services; subsets are meant for hundreds of hosts.
            subset_size: 24,
            spill_load: 0.7,
            has_two_choices: true,
            has_ejection: true,
            straggler_factor: 3.0,
            failures_to_eject: 3,
            ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(1),
            report_half_life: Duration::from_secs(1),
            unresponsive_after: Duration::from_secs(2),
        }
    }

    /// Sets the number of hosts of each service that are used.
    #[must_use]
    pub const fn with_subset_size(mut self, subset_size: usize) -> Self {
        self.subset_size = subset_size;
        self
    }

    /// Sets whether the less loaded of two hosts is chosen.
    #[must_use]
    pub const fn with_two_choices(mut self, has_two_choices: bool) -> Self {
        self.has_two_choices = has_two_choices;
        self
    }

    /// Sets whether stragglers and failing hosts are ejected.
    #[must_use]
    pub const fn with_ejection(mut self, has_ejection: bool) -> Self {
        self.has_ejection = has_ejection;
        self
    }

    /// Sets the load per slot at which work spills into other availability zones.
    #[must_use]
    pub const fn with_spill_load(mut self, spill_load: f64) -> Self {
        self.spill_load = spill_load;
        self
    }
}

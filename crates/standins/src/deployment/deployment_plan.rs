//! Components and settings of a deployment.

use std::time::Duration;

use amaranthscale_core::id::{RegionId, ServiceId, ZoneId};
use amaranthscale_core::version::SettingsTree;

use super::{BackendKind, BackendPlan};

/// Components and settings of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Settings tree to import.
    pub tree: SettingsTree,
    /// Region of all hosts.
    pub region: RegionId,
    /// Availability zones over which hosts are distributed round-robin; at least one.
    pub zones: Vec<ZoneId>,
    /// Number of entries.
    pub entries: u32,
    /// Backend servers by service.
    pub backends: Vec<BackendPlan>,
    /// Time between two reads of the host list.
    pub host_poll_interval: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

impl DeploymentPlan {
    /// A plan without backend servers, in one availability zone.
    ///
    /// # Panics
    ///
    /// Never: the names are valid.
    #[must_use]
    pub fn new(tree: SettingsTree) -> Self {
        Self {
            tree,
            region: "region-1".parse().expect("a valid name"),
            zones: vec!["zone-1".parse().expect("a valid name")],
            entries: 1,
            backends: Vec::new(),
            host_poll_interval: Duration::from_millis(200),
            seed: 1,
        }
    }

    /// Adds backend servers of a service.
    #[must_use]
    pub fn with_backends(
        mut self,
        service: ServiceId,
        kind: BackendKind,
        count: u32,
        slots: u32,
    ) -> Self {
        self.backends.push(BackendPlan {
            service,
            kind,
            count,
            slots,
        });
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub const fn with_entries(mut self, entries: u32) -> Self {
        self.entries = entries;
        self
    }

    /// Distributes hosts over availability zones.
    #[must_use]
    pub fn with_zones(mut self, zones: Vec<ZoneId>) -> Self {
        self.zones = zones;
        self
    }

    pub(super) fn zone(&self, number: u32) -> &ZoneId {
        let index = usize::try_from(number).unwrap_or_default() % self.zones.len();
        &self.zones[index]
    }
}

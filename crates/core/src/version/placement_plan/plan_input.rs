//! Input of a plan.

use std::collections::BTreeMap;

use super::{LoadTracker, PlanLimits};
use crate::id::{HostId, ServiceId};
use crate::unit::SidecarClock;
use crate::version::{Assignment, Service};
use crate::wire::{HostList, HostRecord, HostState};

/// Input of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Services of the settings tree.
    pub services: &'a BTreeMap<ServiceId, Service>,
    /// The host list.
    pub hosts: &'a HostList,
    /// Placement in force.
    pub current: &'a BTreeMap<HostId, Assignment>,
    /// Load state of the replicas.
    pub loads: &'a LoadTracker,
    /// Current time.
    pub now: SidecarClock,
    /// Limits on the plan.
    pub limits: PlanLimits,
}

impl<'a> PlanInput<'a> {
    /// Services with wanted models; the engines of other services are left as they are.
    pub(super) fn managed_services(&self) -> impl Iterator<Item = (&'a ServiceId, &'a Service)> {
        let services = self.services.iter();
        services.filter(|(_, service)| !service.models.is_empty())
    }

    /// Live hosts of a service.
    pub(super) fn live_engines(&self, service: &ServiceId) -> Vec<&'a HostRecord> {
        let is_wanted = |record: &&HostRecord| {
            record.state == HostState::Live && record.service.as_ref() == Some(service)
        };
        self.hosts.hosts.iter().filter(is_wanted).collect()
    }
}

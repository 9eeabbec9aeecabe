//! What a plan is made from.

use std::collections::BTreeMap;

use super::{LoadTracker, PlanLimits};
use crate::id::{HostId, ServiceId};
use crate::unit::SidecarClock;
use crate::version::{Assignment, Service};
use crate::wire::{HostList, HostRecord, HostState};

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Services of the settings tree.
    pub services: &'a BTreeMap<ServiceId, Service>,
    /// The host list.
    pub hosts: &'a HostList,
    /// Placement in force.
    pub current: &'a BTreeMap<HostId, Assignment>,
    /// Which replicas are loaded.
    pub loads: &'a LoadTracker,
    /// Present time.
    pub now: SidecarClock,
    /// Bounds.
    pub limits: PlanLimits,
}

impl<'a> PlanInput<'a> {
    /// Services that want models; the engines of others are left alone.
    pub(super) fn managed_services(&self) -> impl Iterator<Item = (&'a ServiceId, &'a Service)> {
        let services = self.services.iter();
        services.filter(|(_, service)| !service.models.is_empty())
    }

    /// Hosts of a service that take work.
    pub(super) fn live_engines(&self, service: &ServiceId) -> Vec<&'a HostRecord> {
        let is_wanted = |record: &&HostRecord| {
            record.state == HostState::Live && record.service.as_ref() == Some(service)
        };
        self.hosts.hosts.iter().filter(is_wanted).collect()
    }
}

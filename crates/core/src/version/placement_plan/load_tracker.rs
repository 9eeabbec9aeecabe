//! Tracks which replicas of a placement are loaded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{HostId, ModelId};
use crate::unit::SidecarClock;
use crate::version::Assignment;

/// Tracks which replicas of a placement their sidecars have reported as loaded.
///
/// The state is in the planner's memory only. A new planner counts every replica as loading until
/// it is reported as loaded, and so starts too few loads rather than too many.
#[derive(Debug, Clone)]
pub struct LoadTracker {
    load_timeout: Duration,
    replicas: BTreeMap<(HostId, ModelId), Progress>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Loading { since: SidecarClock },
    Loaded,
}

impl LoadTracker {
    /// Creates a tracker without replicas; a load is overdue after `load_timeout`.
    #[must_use]
    pub fn new(load_timeout: Duration) -> Self {
        Self {
            load_timeout,
            replicas: BTreeMap::new(),
        }
    }

    /// Sets the placement in force: new replicas are loading from `now` on, removed ones are
    /// dropped.
    pub fn set_placement(&mut self, assignments: &BTreeMap<HostId, Assignment>, now: SidecarClock) {
        let placed = |host: &HostId, model: &ModelId| {
            let assignment = assignments.get(host);
            assignment.is_some_and(|assignment| assignment.models.contains(model))
        };
        self.replicas.retain(|(host, model), _| placed(host, model));
        for (host, assignment) in assignments {
            for model in &assignment.models {
                let replica = (host.clone(), model.clone());
                let loading = Progress::Loading { since: now };
                self.replicas.entry(replica).or_insert(loading);
            }
        }
    }

    /// Marks the replicas that an engine reports as running as loaded.
    pub fn observe_running(&mut self, host: &HostId, running: &Assignment) {
        let replicas_on_host = self.replicas.iter_mut().filter(|((h, _), _)| h == host);
        for ((_, model), progress) in replicas_on_host {
            if running.models.contains(model) {
                *progress = Progress::Loaded;
            }
        }
    }

    /// Hosts with a replica that has not been reported as loaded.
    #[must_use]
    pub fn hosts_with_loading_replicas(&self) -> BTreeSet<HostId> {
        let loading = self.loading().map(|((host, _), _)| host.clone());
        loading.collect()
    }

    /// Replicas that are loading and not overdue.
    pub fn in_flight(&self, now: SidecarClock) -> impl Iterator<Item = (&HostId, &ModelId)> {
        self.loading_replicas(now, false)
    }

    /// Replicas that have been loading for longer than the timeout.
    ///
    /// They no longer count against the limit on loads: an engine that cannot load a model would
    /// otherwise block all loads in its region forever.
    pub fn overdue(&self, now: SidecarClock) -> impl Iterator<Item = (&HostId, &ModelId)> {
        self.loading_replicas(now, true)
    }

    fn loading_replicas(
        &self,
        now: SidecarClock,
        wants_overdue: bool,
    ) -> impl Iterator<Item = (&HostId, &ModelId)> {
        let is_overdue = move |since: SidecarClock| since.until(now) >= self.load_timeout;
        self.loading()
            .filter(move |(_, since)| is_overdue(*since) == wants_overdue)
            .map(|((host, model), _)| (host, model))
    }

    fn loading(&self) -> impl Iterator<Item = (&(HostId, ModelId), SidecarClock)> {
        self.replicas
            .iter()
            .filter_map(|(replica, progress)| match progress {
                Progress::Loading { since } => Some((replica, *since)),
                Progress::Loaded => None,
            })
    }
}

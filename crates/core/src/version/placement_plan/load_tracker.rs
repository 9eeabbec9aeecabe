//! Which replicas of a placement are loaded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{HostId, ModelId};
use crate::unit::SidecarClock;
use crate::version::Assignment;

/// Which replicas of a placement are loaded, as far as their sidecars have said.
///
/// It lives in the planner's memory. A new planner takes every replica for one that is loading
/// until it has heard otherwise, and so paces too much rather than too little.
#[derive(Debug, Clone)]
pub struct LoadTracker {
    patience: Duration,
    replicas: BTreeMap<(HostId, ModelId), Progress>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Loading { since: SidecarClock },
    Loaded,
}

impl LoadTracker {
    /// Starts without replicas; a load is overdue once it has taken longer than the patience.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            replicas: BTreeMap::new(),
        }
    }

    /// Takes the placement in force: new replicas are loading from now on, others are forgotten.
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

    /// Takes what an engine was last heard to run.
    pub fn observe_running(&mut self, host: &HostId, running: &Assignment) {
        let of_host = self.replicas.iter_mut().filter(|((h, _), _)| h == host);
        for ((_, model), progress) in of_host {
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
        self.split(now, false)
    }

    /// Replicas that have been loading for too long.
    ///
    /// They no longer hold back other loads: an engine that cannot load a model would otherwise
    /// stop the pace of its whole region for good.
    pub fn overdue(&self, now: SidecarClock) -> impl Iterator<Item = (&HostId, &ModelId)> {
        self.split(now, true)
    }

    fn split(
        &self,
        now: SidecarClock,
        wants_overdue: bool,
    ) -> impl Iterator<Item = (&HostId, &ModelId)> {
        let is_overdue = move |since: SidecarClock| since.until(now) >= self.patience;
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

//! A placement while it is being planned.

use std::collections::{BTreeMap, BTreeSet};

use super::{PlanInput, count_of};
use crate::id::{HostId, ModelId, RegionId, ZoneId};
use crate::version::{Assignment, Service};
use crate::wire::HostRecord;

/// A placement while it is being planned.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    current: &'a BTreeMap<HostId, Assignment>,
    assignments: BTreeMap<HostId, Assignment>,
    loading: BTreeSet<(&'a HostId, &'a ModelId)>,
    /// Loads in flight by region; each region has one weight store.
    loads: BTreeMap<&'a RegionId, u32>,
    loads_per_store: u32,
}

/// Numbers of replicas that were not placed.
#[derive(Debug, Default)]
pub(super) struct MissingReplicas {
    /// Replicas that wait for earlier loads.
    pub(super) waiting: u32,
    /// Replicas for which there is no engine.
    pub(super) without_engine: u32,
}

impl<'a> Draft<'a> {
    pub(super) fn new(input: &PlanInput<'a>) -> Self {
        let hosts = input.hosts.hosts.iter();
        let regions: BTreeMap<_, _> = hosts.map(|record| (&record.host, &record.region)).collect();
        let mut loads = BTreeMap::new();
        for (host, _) in input.loads.in_flight(input.now) {
            if let Some(region) = regions.get(host) {
                *loads.entry(*region).or_default() += 1;
            }
        }
        let in_flight = input.loads.in_flight(input.now);
        Self {
            current: input.current,
            assignments: BTreeMap::new(),
            loading: in_flight.chain(input.loads.overdue(input.now)).collect(),
            loads,
            loads_per_store: input.limits.loads_per_store,
        }
    }

    pub(super) fn into_assignments(self) -> BTreeMap<HostId, Assignment> {
        self.assignments
    }

    /// Assigns to every engine of a service those of its models that are still wanted.
    pub(super) fn retain_wanted(&mut self, engines: &[&HostRecord], service: &Service) {
        for engine in engines {
            let mut assignment = self.current.get(&engine.host).cloned().unwrap_or_default();
            assignment
                .models
                .retain(|model| service.models.contains_key(model));
            self.assignments.insert(engine.host.clone(), assignment);
        }
    }

    /// Removes replicas beyond the wanted number, first in the zone with the most replicas.
    pub(super) fn remove_surplus(
        &mut self,
        engines: &[&'a HostRecord],
        model: &'a ModelId,
        wanted: u32,
    ) {
        let mut loaded_engines = self.engines_with(engines, model);
        while loaded_engines.len() > usize::try_from(wanted).unwrap_or(usize::MAX) {
            let per_zone = count_zones(&loaded_engines);
            let rank = |engine: &&&HostRecord| {
                let is_loading = self.loading.contains(&(&engine.host, model));
                let in_zone = count_of(&per_zone, &&engine.zone);
                // Ties are broken by the highest host name, so that repeated plans agree.
                (in_zone, is_loading, engine.host.clone())
            };
            let Some(removed) = loaded_engines.iter().max_by_key(rank).copied() else {
                return;
            };
            loaded_engines.retain(|engine| engine.host != removed.host);
            if let Some(assignment) = self.assignments.get_mut(&removed.host) {
                assignment.models.remove(model);
            }
        }
    }

    /// Places missing replicas, as far as there are engines and the limit on loads allows.
    pub(super) fn add_missing(
        &mut self,
        engines: &[&'a HostRecord],
        model: &ModelId,
        wanted: u32,
    ) -> MissingReplicas {
        let mut missing = MissingReplicas::default();
        let placed_count = self.engines_with(engines, model).len();
        let placed_count = u32::try_from(placed_count).unwrap_or(u32::MAX);
        let free = u32::try_from(engines.len()).unwrap_or(u32::MAX) - placed_count;
        let missing_count = wanted.saturating_sub(placed_count);
        missing.without_engine = missing_count.saturating_sub(free);
        let placeable = missing_count - missing.without_engine;
        for placed in 0..placeable {
            let Some(engine) = self.best_engine(engines, model) else {
                missing.waiting = placeable - placed;
                break;
            };
            *self.loads.entry(&engine.region).or_default() += 1;
            let assignment = self.assignments.entry(engine.host.clone()).or_default();
            assignment.models.insert(model.clone());
        }
        missing
    }

    /// The engine for one more replica: in the zone with the fewest replicas, then the one with the
    /// fewest models.
    fn best_engine(&self, engines: &[&'a HostRecord], model: &ModelId) -> Option<&'a HostRecord> {
        let per_zone = count_zones(&self.engines_with(engines, model));
        let is_candidate = |engine: &&&HostRecord| {
            !self.has_model(engine, model)
                && count_of(&self.loads, &&engine.region) < self.loads_per_store
        };
        let rank = |engine: &&&HostRecord| {
            let in_zone = count_of(&per_zone, &&engine.zone);
            (in_zone, self.model_count(engine), engine.host.clone())
        };
        let candidates = engines.iter().filter(is_candidate);
        candidates.min_by_key(rank).copied()
    }

    fn engines_with(&self, engines: &[&'a HostRecord], model: &ModelId) -> Vec<&'a HostRecord> {
        let loaded_engines = engines
            .iter()
            .filter(|engine| self.has_model(engine, model));
        loaded_engines.copied().collect()
    }

    fn has_model(&self, engine: &HostRecord, model: &ModelId) -> bool {
        let assignment = self.assignments.get(&engine.host);
        assignment.is_some_and(|assignment| assignment.models.contains(model))
    }

    fn model_count(&self, engine: &HostRecord) -> usize {
        let assignment = self.assignments.get(&engine.host);
        assignment.map_or(0, |assignment| assignment.models.len())
    }
}

fn count_zones<'a>(engines: &[&'a HostRecord]) -> BTreeMap<&'a ZoneId, u32> {
    let mut per_zone = BTreeMap::new();
    for engine in engines {
        *per_zone.entry(&engine.zone).or_default() += 1;
    }
    per_zone
}

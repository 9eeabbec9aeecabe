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
    /// Loads in flight by region, which has one weight store.
    loads: BTreeMap<&'a RegionId, u32>,
    loads_per_store: u32,
}

/// Replicas that were not placed.
#[derive(Debug, Default)]
pub(super) struct Missing {
    /// Those that wait for earlier loads.
    pub(super) waiting: u32,
    /// Those for which there is no engine.
    pub(super) without_engine: u32,
}

impl<'a> Draft<'a> {
    pub(super) fn new(question: &PlanInput<'a>) -> Self {
        let hosts = question.hosts.hosts.iter();
        let regions: BTreeMap<_, _> = hosts.map(|record| (&record.host, &record.region)).collect();
        let mut loads = BTreeMap::new();
        for (host, _) in question.loads.in_flight(question.now) {
            if let Some(region) = regions.get(host) {
                *loads.entry(*region).or_default() += 1;
            }
        }
        let in_flight = question.loads.in_flight(question.now);
        Self {
            current: question.current,
            assignments: BTreeMap::new(),
            loading: in_flight
                .chain(question.loads.overdue(question.now))
                .collect(),
            loads,
            loads_per_store: question.limits.loads_per_store,
        }
    }

    pub(super) fn into_assignments(self) -> BTreeMap<HostId, Assignment> {
        self.assignments
    }

    /// Names every engine of a service, with those of its models that are still wanted.
    pub(super) fn keep(&mut self, engines: &[&HostRecord], service: &Service) {
        for engine in engines {
            let mut kept = self.current.get(&engine.host).cloned().unwrap_or_default();
            kept.models
                .retain(|model| service.models.contains_key(model));
            self.assignments.insert(engine.host.clone(), kept);
        }
    }

    /// Removes replicas beyond the wanted number, first where a zone has the most of them.
    pub(super) fn remove_surplus(
        &mut self,
        engines: &[&'a HostRecord],
        model: &'a ModelId,
        wanted: u32,
    ) {
        let mut holders = self.holders(engines, model);
        while holders.len() > usize::try_from(wanted).unwrap_or(usize::MAX) {
            let per_zone = count_zones(&holders);
            let rank = |engine: &&&HostRecord| {
                let is_loading = self.loading.contains(&(&engine.host, model));
                let in_zone = count_of(&per_zone, &&engine.zone);
                // The last by name goes first, so that repeated plans agree.
                (in_zone, is_loading, engine.host.clone())
            };
            let Some(dropped) = holders.iter().max_by_key(rank).copied() else {
                return;
            };
            holders.retain(|engine| engine.host != dropped.host);
            if let Some(assignment) = self.assignments.get_mut(&dropped.host) {
                assignment.models.remove(model);
            }
        }
    }

    /// Places missing replicas, as far as there are engines and the pace allows.
    pub(super) fn add_missing(
        &mut self,
        engines: &[&'a HostRecord],
        model: &ModelId,
        wanted: u32,
    ) -> Missing {
        let mut missing = Missing::default();
        let held = self.holders(engines, model).len();
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let free = u32::try_from(engines.len()).unwrap_or(u32::MAX) - held;
        let lacking = wanted.saturating_sub(held);
        missing.without_engine = lacking.saturating_sub(free);
        let placeable = lacking - missing.without_engine;
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

    /// The engine for one more replica: in the zone with the fewest, then with the fewest models.
    fn best_engine(&self, engines: &[&'a HostRecord], model: &ModelId) -> Option<&'a HostRecord> {
        let per_zone = count_zones(&self.holders(engines, model));
        let is_candidate = |engine: &&&HostRecord| {
            !self.holds(engine, model)
                && count_of(&self.loads, &&engine.region) < self.loads_per_store
        };
        let rank = |engine: &&&HostRecord| {
            let in_zone = count_of(&per_zone, &&engine.zone);
            (in_zone, self.models_of(engine), engine.host.clone())
        };
        let candidates = engines.iter().filter(is_candidate);
        candidates.min_by_key(rank).copied()
    }

    fn holders(&self, engines: &[&'a HostRecord], model: &ModelId) -> Vec<&'a HostRecord> {
        let holders = engines.iter().filter(|engine| self.holds(engine, model));
        holders.copied().collect()
    }

    fn holds(&self, engine: &HostRecord, model: &ModelId) -> bool {
        let assignment = self.assignments.get(&engine.host);
        assignment.is_some_and(|assignment| assignment.models.contains(model))
    }

    fn models_of(&self, engine: &HostRecord) -> usize {
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

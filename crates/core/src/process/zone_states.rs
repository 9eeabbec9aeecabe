//! State of the availability zones, as set by operators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{RowVersion, ZoneId};

/// A change of an availability zone's state by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// The new state; an unreadable row leaves the zone as it is.
    pub state: Result<ZoneState, String>,
}

/// Whether an availability zone is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// Nothing may be sent to its servers; the version of the operators' row.
    Evacuated(RowVersion),
    /// It is in use.
    InUse,
}

/// Evacuated zones, and zones that were taken back.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneStates {
    evacuated: BTreeMap<ZoneId, RowVersion>,
    /// When zones were taken back into use.
    taken_back: BTreeMap<ZoneId, Duration>,
}

impl ZoneStates {
    /// Applies the operators' changes of zones; returns the zones whose state changed.
    ///
    /// A complete table takes back the zones that it does not name. An unreadable row leaves a zone
    /// as it is, as it does not show that the zone was taken back.
    pub(super) fn apply(
        &mut self,
        changes: Vec<ZoneChange>,
        is_complete: bool,
        now: Duration,
    ) -> Vec<(ZoneId, ZoneState)> {
        let mut states = BTreeMap::new();
        if is_complete {
            let named: BTreeSet<_> = changes.iter().map(|change| &change.zone).collect();
            let missing = self.evacuated.keys().filter(|zone| !named.contains(zone));
            states.extend(missing.map(|zone| (zone.clone(), ZoneState::InUse)));
        }
        let readable = changes.into_iter();
        let readable = readable.filter_map(|change| Some((change.zone, change.state.ok()?)));
        states.extend(readable);
        states.retain(|zone, state| self.apply_one(zone, *state, now));
        states.into_iter().collect()
    }

    fn apply_one(&mut self, zone: &ZoneId, state: ZoneState, now: Duration) -> bool {
        match state {
            ZoneState::Evacuated(version) => {
                self.taken_back.remove(zone);
                self.evacuated.insert(zone.clone(), version).is_none()
            }
            ZoneState::InUse => {
                self.evacuated.remove(zone);
                // Recorded even if the zone counts as in use here: its evacuation may have been
                // missed, as during a network partition.
                self.taken_back.insert(zone.clone(), now);
                true
            }
        }
    }

    /// Evacuated zones, each with the version of the operators' row.
    pub(super) fn evacuated(&self) -> impl Iterator<Item = (&ZoneId, RowVersion)> {
        self.evacuated
            .iter()
            .map(|(zone, version)| (zone, *version))
    }

    pub(super) fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// When a zone was last taken back, if ever.
    pub(super) fn taken_back_at(&self, zone: &ZoneId) -> Option<Duration> {
        self.taken_back.get(zone).copied()
    }
}

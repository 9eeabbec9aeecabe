//! Which availability zones are in use, by the operators' word.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{RowVersion, ZoneId};

/// What the operators say of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// What is said; unreadable words leave the zone as it is.
    pub state: Result<ZoneState, String>,
}

/// Whether an availability zone is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// Nothing may be sent to its servers, by a version of the operators' word.
    Evacuated(RowVersion),
    /// It is in use.
    InUse,
}

/// Zones that are evacuated, and those that came back.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneUses {
    evacuated: BTreeMap<ZoneId, RowVersion>,
    /// Zones that are in use again, since when.
    taken_back: BTreeMap<ZoneId, Duration>,
}

impl ZoneUses {
    /// Takes what the operators say of zones; says which of them have changed.
    ///
    /// A whole table takes back what it does not name. Words that cannot be read leave a zone as it
    /// is: nothing says that it was taken back.
    pub(super) fn take(
        &mut self,
        changes: Vec<ZoneChange>,
        is_whole: bool,
        now: Duration,
    ) -> Vec<(ZoneId, ZoneState)> {
        let mut states = BTreeMap::new();
        if is_whole {
            let named: BTreeSet<_> = changes.iter().map(|change| &change.zone).collect();
            let missing = self.evacuated.keys().filter(|zone| !named.contains(zone));
            states.extend(missing.map(|zone| (zone.clone(), ZoneState::InUse)));
        }
        let readable = changes.into_iter();
        let readable = readable.filter_map(|change| Some((change.zone, change.state.ok()?)));
        states.extend(readable);
        states.retain(|zone, state| self.take_one(zone, *state, now));
        states.into_iter().collect()
    }

    fn take_one(&mut self, zone: &ZoneId, state: ZoneState, now: Duration) -> bool {
        match state {
            ZoneState::Evacuated(version) => {
                self.taken_back.remove(zone);
                self.evacuated.insert(zone.clone(), version).is_none()
            }
            ZoneState::InUse => {
                self.evacuated.remove(zone);
                // Said of a zone that was in use here, its evacuation passed unheard, as behind a cut.
                self.taken_back.insert(zone.clone(), now);
                true
            }
        }
    }

    /// Zones that are evacuated, each with the version of the operators' word.
    pub(super) fn evacuated(&self) -> impl Iterator<Item = (&ZoneId, RowVersion)> {
        self.evacuated
            .iter()
            .map(|(zone, version)| (zone, *version))
    }

    pub(super) fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// When a zone was taken back, if it ever was.
    pub(super) fn taken_back_at(&self, zone: &ZoneId) -> Option<Duration> {
        self.taken_back.get(zone).copied()
    }
}

//! Until when servers are cold.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cold_limits::ColdLimits;
use crate::id::ServerId;

/// What servers tell of it, and what is assumed of those that do not.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdTimes {
    /// Until when, by a server's own word.
    told_until: BTreeMap<ServerId, Duration>,
    /// When servers came that do not say.
    came_untold: BTreeMap<ServerId, Duration>,
}

impl ColdTimes {
    /// Takes an entry of a server, which may have come since the last whole list.
    pub(super) fn told(
        &mut self,
        id: &ServerId,
        left: Option<Duration>,
        has_come: bool,
        now: Duration,
    ) {
        match left {
            Some(left) if !left.is_zero() => {
                self.told_until.insert(id.clone(), now + left);
            }
            Some(_) => self.forget(id),
            None if has_come => {
                self.came_untold.insert(id.clone(), now);
            }
            None => {}
        }
    }

    /// When a server is cold no longer, by its own word and by its zone's return.
    ///
    /// Guards against servers that became cold while nothing was sent to them: their entries say so
    /// a heartbeat later, and until then a full share of the service's requests would crash them.
    pub(super) fn until(
        &self,
        id: &ServerId,
        terms: ColdLimits,
        taken_back_at: Option<Duration>,
    ) -> Option<Duration> {
        let told = self.told_until.get(id).copied();
        let came_at = self.came_untold.get(id).copied();
        let assumed = came_at
            .max(taken_back_at)
            .map(|at| at + terms.cold_duration);
        told.max(assumed)
    }

    pub(super) fn forget(&mut self, id: &ServerId) {
        self.told_until.remove(id);
        self.came_untold.remove(id);
    }
}

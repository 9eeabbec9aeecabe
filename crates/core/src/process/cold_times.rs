//! Until when servers are cold.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cold_limits::ColdLimits;
use crate::id::ServerId;

/// Reported cold times, and assumed ones for servers that report none.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdTimes {
    /// Until when servers are cold by their own report.
    reported_until: BTreeMap<ServerId, Duration>,
    /// When servers appeared that do not report it.
    unreported_since: BTreeMap<ServerId, Duration>,
}

impl ColdTimes {
    /// Records a server's listing; `has_joined` tells that the server is new since the last
    /// complete list.
    pub(super) fn record(
        &mut self,
        id: &ServerId,
        left: Option<Duration>,
        has_joined: bool,
        now: Duration,
    ) {
        match left {
            Some(left) if !left.is_zero() => {
                self.reported_until.insert(id.clone(), now + left);
            }
            Some(_) => self.remove(id),
            None if has_joined => {
                self.unreported_since.insert(id.clone(), now);
            }
            None => {}
        }
    }

    /// When a server stops being cold, by its own report and by the time its zone was taken back.
    ///
    /// Guards against servers that became cold while nothing was sent to them: their listings
    /// report it one heartbeat later, and until then a full share of the service's requests would
    /// crash them.
    pub(super) fn until(
        &self,
        id: &ServerId,
        limits: ColdLimits,
        taken_back_at: Option<Duration>,
    ) -> Option<Duration> {
        let record = self.reported_until.get(id).copied();
        let joined_at = self.unreported_since.get(id).copied();
        let assumed_until = joined_at
            .max(taken_back_at)
            .map(|at| at + limits.cold_duration);
        record.max(assumed_until)
    }

    pub(super) fn remove(&mut self, id: &ServerId) {
        self.reported_until.remove(id);
        self.unreported_since.remove(id);
    }
}

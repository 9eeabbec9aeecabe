//! When the servers of a service are next free, by availability zone.
//!
//! Computed once for each free server that gets a batch: computing it for each waiting stage would
//! scan all servers each time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_state::{PoolState, StageServer};
use crate::id::ZoneId;
use crate::version::BatchSpec;

/// Fraction of a piece's slack for which it may wait for a server in its preferred zone: the later
/// stages need the rest.
const ZONE_WAIT_SLACK_FRACTION: f64 = 0.5;
/// Slowness from which a server only gets pieces that no other server could complete in time.
const SLOW_THRESHOLD: f64 = 1.6;

/// Availability of a service's servers by zone at one point in time.
pub(super) struct ZoneAvailability<'a> {
    now: Duration,
    spec: BatchSpec,
    zones: BTreeMap<&'a ZoneId, ZoneServers>,
}

/// Servers of an availability zone that are not slow.
struct ZoneServers {
    count: usize,
    next_free_at: Duration,
}

impl<'a> ZoneAvailability<'a> {
    pub(super) fn of(pool: &'a PoolState, spec: BatchSpec, now: Duration) -> Self {
        let mut zones: BTreeMap<&ZoneId, ZoneServers> = BTreeMap::new();
        let usual = pool
            .usable(now)
            .filter(|(_, server)| server.slowness(now) < SLOW_THRESHOLD);
        for (_, server) in usual {
            let free_at = server.busy_until.max(now);
            let zone = zones.entry(&server.zone).or_insert(ZoneServers {
                count: 0,
                next_free_at: free_at,
            });
            zone.count += 1;
            zone.next_free_at = zone.next_free_at.min(free_at);
        }
        Self { now, spec, zones }
    }

    /// Whether a piece should wait for a server in its preferred availability zone.
    pub(super) fn should_wait(
        &self,
        preferred: &ZoneId,
        ahead: usize,
        latest_start: Duration,
    ) -> bool {
        let Some(zone) = self.zones.get(preferred) else {
            return false;
        };
        let calls_ahead = ahead / (self.spec.max_pieces.max(1) * zone.count);
        let call = self.spec.call_time_for(self.spec.max_pieces);
        let queue = call.saturating_mul(u32::try_from(calls_ahead).unwrap_or(u32::MAX));
        let slack = latest_start.saturating_sub(self.now);
        zone.next_free_at + queue <= self.now + slack.mul_f64(ZONE_WAIT_SLACK_FRACTION)
    }

    /// Whether a slow server would make a piece late that another server would complete in time.
    pub(super) fn is_faster_elsewhere(
        &self,
        server: &StageServer,
        latest_start: Duration,
        is_late: bool,
    ) -> bool {
        let slowness = server.slowness(self.now);
        if slowness < SLOW_THRESHOLD || is_late || self.zones.is_empty() {
            return false;
        }
        let call = self.spec.call_time_for(self.spec.max_pieces / 2);
        self.now + call.mul_f64(slowness - 1.0) > latest_start
    }
}

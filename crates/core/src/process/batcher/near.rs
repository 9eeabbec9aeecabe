//! Where a service's usual servers are free next, by availability zone.
//!
//! Worked out once for each free server that is given a batch: asked anew for each stage that
//! waits, it would cost a pass over all servers each time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_state::{PoolState, StageServer};
use crate::id::ZoneId;
use crate::version::BatchSpec;

/// Part of a piece's slack that it may wait for a near server: the later stages need the rest.
const NEAR_SLACK_PART: f64 = 0.5;
/// Slowness from which a server gets only what no other server could do in time.
const SLOW: f64 = 1.6;

/// A service's servers as one of them sees them when it is given a batch.
pub(super) struct NearServers<'a> {
    now: Duration,
    spec: BatchSpec,
    zones: BTreeMap<&'a ZoneId, UsualServers>,
}

/// Servers of an availability zone that are not slow.
struct UsualServers {
    count: usize,
    first_free_at: Duration,
}

impl<'a> NearServers<'a> {
    pub(super) fn of(pool: &'a PoolState, spec: BatchSpec, now: Duration) -> Self {
        let mut zones: BTreeMap<&ZoneId, UsualServers> = BTreeMap::new();
        let usual = pool
            .in_use(now)
            .filter(|(_, server)| server.slowness(now) < SLOW);
        for (_, server) in usual {
            let free_at = server.busy_until.max(now);
            let zone = zones.entry(&server.zone).or_insert(UsualServers {
                count: 0,
                first_free_at: free_at,
            });
            zone.count += 1;
            zone.first_free_at = zone.first_free_at.min(free_at);
        }
        Self { now, spec, zones }
    }

    /// Whether a piece had better wait for a server in the availability zone that it belongs in.
    pub(super) fn wait(&self, home: &ZoneId, ahead: usize, latest_start: Duration) -> bool {
        let Some(near) = self.zones.get(home) else {
            return false;
        };
        let calls_ahead = ahead / (self.spec.max_pieces.max(1) * near.count);
        let call = self.spec.call_time_for(self.spec.max_pieces);
        let queue = call.saturating_mul(u32::try_from(calls_ahead).unwrap_or(u32::MAX));
        let slack = latest_start.saturating_sub(self.now);
        near.first_free_at + queue <= self.now + slack.mul_f64(NEAR_SLACK_PART)
    }

    /// Whether a slow server would make a piece late that a usual one would not.
    pub(super) fn are_faster(
        &self,
        server: &StageServer,
        latest_start: Duration,
        is_late: bool,
    ) -> bool {
        let slowness = server.slowness(self.now);
        if slowness < SLOW || is_late || self.zones.is_empty() {
            return false;
        }
        let call = self.spec.call_time_for(self.spec.max_pieces / 2);
        self.now + call.mul_f64(slowness - 1.0) > latest_start
    }
}

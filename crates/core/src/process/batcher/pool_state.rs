//! One stage service: its queue and the account of its servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::queue::Queue;
use crate::id::{ServerIncarnation, ZoneId};
use crate::process::count::as_f64;
use crate::process::recent_sends::RecentSends;
use crate::process::send_share::{SendRateLimit, SendShare};
use crate::process::server_availability::ServerAvailability;
use crate::process::server_list::ServerRecord;
use crate::version::BatchSpec;

/// Part of the room that is used: sizes of results are approximate.
const USED_ROOM_PERCENT: u64 = 95;
/// Part of the servers' time up to which pieces are spread thin: with more of it in calls of few
/// pieces, what arrives next finds no server free. Flat from 0.7 to 1.0 where it was varied.
const BUSY_PART: f64 = 0.9;
/// Part of each new sample in a server's slowness.
const SAMPLE_SHARE: f64 = 0.5;
/// Time without a call after which a server counts as no slower than the others again.
const SLOWNESS_LIFE: Duration = Duration::from_secs(3);
/// First time that a server which lost a call is left out; doubles with each further loss.
const FIRST_OUT: Duration = Duration::from_millis(500);
/// Most doublings of the time that a server is left out.
const MOST_DOUBLINGS: u32 = 3;

/// Speed that a service is always taken to have, in servers; none in use would divide by zero.
const LEAST_SPEED: f64 = 0.2;
/// Part of the servers' time that is always taken to arrive; none would divide by zero.
const LEAST_ARRIVING: f64 = 0.01;
/// Span over which arriving work is averaged.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// One server as the owner of the batches sees it.
#[derive(Debug)]
pub(super) struct StageServer {
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneId,
    pub(super) calls: usize,
    /// Expected end of its calls.
    pub(super) busy_until: Duration,
    pub(super) out_until: Duration,
    /// What may be sent to it; one of an evacuated zone keeps its account for when it is taken back.
    pub(super) server_availability: ServerAvailability,
    losses: u32,
    used_bytes: u64,
    /// Room that results of others took when the server last had none left.
    others_bytes: u64,
    others_at: Duration,
    slowness: f64,
    sampled_at: Duration,
}

impl StageServer {
    fn new(record: &ServerRecord, server_availability: ServerAvailability) -> Self {
        Self {
            address: record.address,
            zone: record.zone.clone(),
            calls: 0,
            busy_until: Duration::ZERO,
            out_until: Duration::ZERO,
            server_availability,
            losses: 0,
            used_bytes: 0,
            others_bytes: 0,
            others_at: Duration::ZERO,
            slowness: 1.0,
            sampled_at: Duration::ZERO,
        }
    }

    /// Times that a call takes longer here than the service says.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.sampled_at) > SLOWNESS_LIFE {
            1.0
        } else {
            self.slowness
        }
    }

    fn others_bytes(&self, kept_for: Duration, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.others_at).min(kept_for);
        let left_ms = kept_for.saturating_sub(elapsed).as_millis();
        let whole_ms = kept_for.as_millis().max(1);
        let left = u128::from(self.others_bytes) * left_ms / whole_ms;
        u64::try_from(left).unwrap_or(u64::MAX)
    }

    /// The owner's share of its calls while it is cold or names a limit.
    fn send_share(&self, now: Duration) -> Option<SendShare> {
        let bound = match self.server_availability {
            ServerAvailability::Cold { until, .. } if until <= now => None,
            server_availability => server_availability.rate_limit(),
        };
        bound.map(SendRateLimit::share_of_owner)
    }

    /// Part of a server's usual calls that it takes, by its limit.
    fn part_by_limit(&self, usual_call: Duration) -> f64 {
        match self.server_availability {
            ServerAvailability::Limited { max_per_s } => {
                (max_per_s * usual_call.as_secs_f64()).min(1.0)
            }
            _ => 1.0,
        }
    }

    pub(super) fn answered(&mut self, slowness: f64, now: Duration) {
        self.losses = 0;
        self.slowness += SAMPLE_SHARE * (slowness.max(0.5) - self.slowness);
        self.sampled_at = now;
    }

    pub(super) fn lost(&mut self, now: Duration) {
        let out = FIRST_OUT * (1 << self.losses.min(MOST_DOUBLINGS));
        self.losses += 1;
        self.out_until = now + out;
    }
}

/// One stage service.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) spec: Option<BatchSpec>,
    pub(super) servers: BTreeMap<ServerIncarnation, StageServer>,
    pub(super) queue: Queue,
    recent_sends: RecentSends,
    arriving: f64,
    arrived_at: Duration,
}

impl PoolState {
    /// Time in which the servers make so many pieces in full batches.
    pub(super) fn time_for(&self, pieces: usize, now: Duration) -> Duration {
        let Some(spec) = self.spec else {
            return Duration::ZERO;
        };
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let piece_time = spec.piece_time + spec.call_time / max_pieces;
        let work = piece_time.saturating_mul(u32::try_from(pieces).unwrap_or(u32::MAX));
        let servers = self.in_use(now);
        let usual_call = spec.call_time_for(spec.max_pieces);
        let speed_of = |server: &StageServer| {
            (1.0 / server.slowness(now)).min(server.part_by_limit(usual_call))
        };
        let speed: f64 = servers.map(|(_, server)| speed_of(server)).sum();
        let slots = f64::from(u32::try_from(spec.slots.max(1)).unwrap_or(1));
        work.div_f64((speed * slots).max(LEAST_SPEED))
    }

    /// Counts work that arrives.
    pub(super) fn note_arriving(&mut self, work: Duration, now: Duration) {
        let faded = self.arriving(now);
        self.arriving = faded + work.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64();
        self.arrived_at = now;
    }

    /// Part of the servers' time that arriving work takes, over the last seconds.
    pub(super) fn arriving(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.arrived_at).as_secs_f64();
        self.arriving * (-elapsed / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    /// Fewest pieces in a call with which the servers make what arrives and have some time left.
    ///
    /// Each call costs much by itself. Spread over all free servers, a few pieces each, work that
    /// takes half of the servers' time in full calls takes all of it, and later pieces wait; filled
    /// to the brim, calls take long while servers stand idle.
    pub(super) fn least_share(&self, spec: BatchSpec, now: Duration) -> usize {
        let most = spec.max_pieces.max(1);
        let (call, piece) = (spec.call_time.as_secs_f64(), spec.piece_time.as_secs_f64());
        let call_part = call / as_f64(most);
        // What the servers have for each piece that arrives, of the part that may be used.
        let time_each = (piece + call_part) * BUSY_PART / self.arriving(now).max(LEAST_ARRIVING);
        let left_for_calls = time_each - piece;
        (1..most)
            .find(|pieces| call / as_f64(*pieces) <= left_for_calls)
            .unwrap_or(most)
    }

    pub(super) const fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = Some(spec);
    }

    /// Servers that are gone or leave drop out of the account; their calls end by themselves.
    pub(super) fn set_servers(&mut self, listed: &[(&ServerRecord, ServerAvailability)]) {
        self.servers
            .retain(|id, _| listed.iter().any(|(record, _)| record.incarnation == *id));
        for (record, server_availability) in listed {
            self.servers
                .entry(record.incarnation.clone())
                .or_insert_with(|| StageServer::new(record, *server_availability))
                .server_availability = *server_availability;
        }
        let is_bounded = |server: &StageServer| server.server_availability.rate_limit().is_some();
        let servers = &self.servers;
        self.recent_sends
            .retain(|life| servers.get(life).is_some_and(is_bounded));
    }

    /// Whether operators have evacuated the zones of all its servers.
    pub(super) fn is_evacuated(&self) -> bool {
        let mut servers = self.servers.values();
        !self.servers.is_empty() && servers.all(|server| !server.server_availability.is_usable())
    }

    /// Counts a call to a server, if its calls are bounded.
    pub(super) fn count_send(&mut self, server: &ServerIncarnation, now: Duration) {
        let state = self.servers.get(server);
        if let Some(share) = state.and_then(|server| server.send_share(now)) {
            // Asked for in `free` a moment ago.
            self.recent_sends.try_send(server, share, now);
        }
    }

    /// Room of a server that nothing takes.
    pub(super) fn free_bytes(&self, server: &ServerIncarnation, now: Duration) -> u64 {
        let Some((spec, server)) = self.spec.zip(self.servers.get(server)) else {
            return 0;
        };
        let taken_bytes = server.used_bytes + server.others_bytes(spec.result_retention, now);
        usable_bytes(spec).saturating_sub(taken_bytes)
    }

    /// Notes results that a server may keep under handles that nobody knows.
    ///
    /// Guards against a call that was given up, whose server goes on with it, and against results
    /// that nobody frees, as after an owner's death: sent as if that room were free, the next calls
    /// would find none. Such results lapse, so their room comes back by and by.
    pub(super) fn note_unknown(&mut self, server: &ServerIncarnation, bytes: u64, now: Duration) {
        if let Some((spec, server)) = self.spec.zip(self.servers.get_mut(server)) {
            server.others_bytes = server.others_bytes(spec.result_retention, now) + bytes;
            server.others_at = now;
        }
    }

    pub(super) fn reserve(&mut self, server: &ServerIncarnation, bytes: u64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.used_bytes += bytes;
        }
    }

    pub(super) fn give_back(&mut self, server: &ServerIncarnation, bytes: u64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.used_bytes = server.used_bytes.saturating_sub(bytes);
        }
    }

    /// Whether a server can take a call now.
    pub(super) fn has_free(&self, now: Duration) -> bool {
        self.free(now).next().is_some()
    }

    /// Servers that can take a call now.
    pub(super) fn free(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerIncarnation, &StageServer)> {
        let slots = self.spec.map_or(0, |spec| spec.slots.max(1));
        let is_free = move |server: &StageServer| server.calls < slots && server.busy_until <= now;
        let has_share = move |life: &ServerIncarnation, server: &StageServer| {
            let share = server.send_share(now);
            share.is_none_or(|share| self.recent_sends.can_send(life, share, now))
        };
        let in_use = self.in_use(now);
        in_use.filter(move |(life, server)| is_free(server) && has_share(life, server))
    }

    /// Servers that take calls.
    pub(super) fn in_use(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerIncarnation, &StageServer)> {
        let servers = self.servers.iter();
        servers.filter(move |(_, server)| {
            server.out_until <= now && server.server_availability.is_usable()
        })
    }
}

const fn usable_bytes(spec: BatchSpec) -> u64 {
    spec.result_capacity_bytes / 100 * USED_ROOM_PERCENT
}

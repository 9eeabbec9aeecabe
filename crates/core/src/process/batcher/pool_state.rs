//! One stage service: its queue and the state of its servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::admission::{Residence, bytes_as_f64};
use super::queue::Queue;
use crate::id::{ServerIncarnation, ZoneId};
use crate::process::allowed_zones::AllowedZones;
use crate::process::count::as_f64;
use crate::process::recent_sends::RecentSends;
use crate::process::send_share::{SendRateLimit, SendShare};
use crate::process::server_availability::ServerAvailability;
use crate::process::server_list::ServerRecord;
use crate::version::BatchSpec;

/// Usable part of the result storage: sizes of results are approximate.
const USABLE_CAPACITY_PERCENT: u64 = 95;
/// Fraction of the servers' time up to which pieces are spread over small calls: above it, arriving
/// pieces find no free server.
const BUSY_FRACTION: f64 = 0.9;
/// Weight of each new sample in a server's slowness.
const SAMPLE_WEIGHT: f64 = 0.5;
/// Slowness from which calls to a server get fewer pieces; less is within the usual variation.
const MIN_PACED_SLOWNESS: f64 = 1.5;
/// Time without a call after which a server is assumed to be as fast as the others again.
const SLOWNESS_LIFETIME: Duration = Duration::from_secs(3);
/// First ejection time of a server that lost a call; doubles with each further loss.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Largest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 3;

/// Smallest assumed speed of a service, in servers; avoids a division by zero without usable
/// servers.
const MIN_SPEED: f64 = 0.2;
/// Smallest assumed arrival load; avoids a division by zero.
const MIN_ARRIVAL_LOAD: f64 = 0.01;
/// Window over which arriving work is averaged.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// State of one server.
#[derive(Debug)]
pub(super) struct StageServer {
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneId,
    pub(super) calls: usize,
    /// Expected end of its calls.
    pub(super) busy_until: Duration,
    pub(super) ejected_until: Duration,
    /// Whether calls may be sent to it. The state of a server of an evacuated zone is retained
    /// until the zone is taken back.
    pub(super) server_availability: ServerAvailability,
    losses: u32,
    reserved_bytes: u64,
    /// Storage occupied by results that the owner does not know, when it was last estimated.
    untracked_bytes: u64,
    untracked_at: Duration,
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
            ejected_until: Duration::ZERO,
            server_availability,
            losses: 0,
            reserved_bytes: 0,
            untracked_bytes: 0,
            untracked_at: Duration::ZERO,
            slowness: 1.0,
            sampled_at: Duration::ZERO,
        }
    }

    /// Ratio of the time of a call here to the expected time.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.sampled_at) > SLOWNESS_LIFETIME {
            1.0
        } else {
            self.slowness
        }
    }

    fn untracked_bytes(&self, retention: Duration, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.untracked_at).min(retention);
        let left_ms = retention.saturating_sub(elapsed).as_millis();
        let whole_ms = retention.as_millis().max(1);
        let left = u128::from(self.untracked_bytes) * left_ms / whole_ms;
        u64::try_from(left).unwrap_or(u64::MAX)
    }

    fn is_usable(&self, now: Duration) -> bool {
        let availability = self.server_availability;
        let has_backed_off = availability
            .backoff_until()
            .is_some_and(|until| until <= now);
        availability.is_usable() || has_backed_off
    }

    /// The owner's share of the server's rate limit while it is cold or limited.
    fn send_share(&self, now: Duration) -> Option<SendShare> {
        let rate_limit = match self.server_availability {
            ServerAvailability::Cold { until, .. } if until <= now => None,
            server_availability => server_availability.rate_limit(),
        };
        rate_limit.map(SendRateLimit::share_of_owner)
    }

    /// Fraction of its usual calls that a server accepts under its rate limit.
    fn limit_fraction(&self, usual_call: Duration) -> f64 {
        match self.server_availability {
            ServerAvailability::Limited { max_per_s } => {
                (max_per_s * usual_call.as_secs_f64()).min(1.0)
            }
            _ => 1.0,
        }
    }

    pub(super) fn record_answer(&mut self, slowness: f64, now: Duration) {
        self.losses = 0;
        self.slowness += SAMPLE_WEIGHT * (slowness.max(0.5) - self.slowness);
        self.sampled_at = now;
    }

    pub(super) fn record_loss(&mut self, now: Duration) {
        let ejection = MIN_EJECTION * (1 << self.losses.min(MAX_DOUBLINGS));
        self.losses += 1;
        self.ejected_until = now + ejection;
    }
}

/// One stage service.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) spec: Option<BatchSpec>,
    pub(super) servers: BTreeMap<ServerIncarnation, StageServer>,
    pub(super) queue: Queue,
    recent_sends: RecentSends,
    /// How long results occupy storage.
    pub(super) residence: Residence,
    arrival_load: f64,
    arrival_load_at: Duration,
}

impl PoolState {
    /// Time in which the servers complete a number of pieces in full batches.
    pub(super) fn processing_time(&self, pieces: usize, now: Duration) -> Duration {
        let Some(spec) = self.spec else {
            return Duration::ZERO;
        };
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let piece_time = spec.piece_time + spec.call_time / max_pieces;
        let work = piece_time.saturating_mul(u32::try_from(pieces).unwrap_or(u32::MAX));
        work.div_f64(self.speed(now).max(MIN_SPEED))
    }

    /// Number of calls that the servers process at once, each by its server's speed.
    pub(super) fn speed(&self, now: Duration) -> f64 {
        let Some(spec) = self.spec else {
            return 0.0;
        };
        let servers = self.usable(now);
        let usual_call = spec.call_time_for(spec.max_pieces);
        let speed_of = |server: &StageServer| {
            (1.0 / server.slowness(now)).min(server.limit_fraction(usual_call))
        };
        let speed: f64 = servers.map(|(_, server)| speed_of(server)).sum();
        let slots = f64::from(u32::try_from(spec.slots.max(1)).unwrap_or(1));
        speed * slots
    }

    /// Result storage of one server.
    pub(super) fn usable_bytes(&self) -> u64 {
        self.spec.map_or(0, usable_bytes)
    }

    /// Records how much storage is occupied.
    pub(super) fn observe_storage(&mut self, now: Duration) {
        let stored = self.servers.values().map(|server| server.reserved_bytes);
        self.residence.observe(bytes_as_f64(stored.sum()), now);
    }

    /// Adds arriving work to the average.
    pub(super) fn add_arrival(&mut self, work: Duration, now: Duration) {
        let decayed = self.arrival_load(now);
        self.arrival_load = decayed + work.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64();
        self.arrival_load_at = now;
    }

    /// Fraction of the servers' time that arriving work takes, averaged over the last seconds.
    pub(super) fn arrival_load(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.arrival_load_at).as_secs_f64();
        self.arrival_load * (-elapsed / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    /// Smallest batch size with which the servers keep up with arriving work and retain some spare
    /// time.
    ///
    /// Each call has a high fixed cost. Work that takes half of the servers' time in full calls
    /// takes all of it if it is spread over all free servers in calls of a few pieces, and later
    /// pieces wait; with only full calls, calls take long while other servers are idle.
    pub(super) fn min_batch_size(&self, spec: BatchSpec, now: Duration) -> usize {
        let max_pieces = spec.max_pieces.max(1);
        let (call, piece) = (spec.call_time.as_secs_f64(), spec.piece_time.as_secs_f64());
        let call_part = call / as_f64(max_pieces);
        // Usable server time per arriving piece.
        let time_each =
            (piece + call_part) * BUSY_FRACTION / self.arrival_load(now).max(MIN_ARRIVAL_LOAD);
        let left_for_calls = time_each - piece;
        (1..max_pieces)
            .find(|pieces| call / as_f64(*pieces) <= left_for_calls)
            .unwrap_or(max_pieces)
    }

    pub(super) const fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = Some(spec);
    }

    /// Replaces the servers. Calls to servers that are removed end by themselves.
    pub(super) fn set_servers(&mut self, listed: &[(&ServerRecord, ServerAvailability)]) {
        self.servers
            .retain(|id, _| listed.iter().any(|(record, _)| record.incarnation == *id));
        for (record, server_availability) in listed {
            self.servers
                .entry(record.incarnation.clone())
                .or_insert_with(|| StageServer::new(record, *server_availability))
                .server_availability = *server_availability;
        }
        let is_rate_limited =
            |server: &StageServer| server.server_availability.rate_limit().is_some();
        let servers = &self.servers;
        self.recent_sends
            .retain(|incarnation| servers.get(incarnation).is_some_and(is_rate_limited));
    }

    /// Whether all its servers are in zones that operators have evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        let mut servers = self.servers.values();
        !self.servers.is_empty()
            && servers.all(|server| !server.server_availability.is_usable_in_time())
    }

    /// Whether a server in allowed zones may be used now or, without a change of its listing, later.
    pub(super) fn has_server_in(&self, zones: &AllowedZones) -> bool {
        let mut servers = self.servers.values();
        servers.any(|server| {
            zones.contains(&server.zone) && server.server_availability.is_usable_in_time()
        })
    }

    /// Counts a call to a server whose send rate is limited.
    pub(super) fn record_send(&mut self, server: &ServerIncarnation, now: Duration) {
        let state = self.servers.get(server);
        if let Some(share) = state.and_then(|server| server.send_share(now)) {
            // `available` has checked the share just before.
            self.recent_sends.try_send(server, share, now);
        }
    }

    /// Free result storage of a server.
    pub(super) fn free_bytes(&self, server: &ServerIncarnation, now: Duration) -> u64 {
        let Some((spec, server)) = self.spec.zip(self.servers.get(server)) else {
            return 0;
        };
        let unavailable_bytes =
            server.reserved_bytes + server.untracked_bytes(spec.result_retention, now);
        usable_bytes(spec).saturating_sub(unavailable_bytes)
    }

    /// Records that a server may store results whose handles the owner does not know.
    ///
    /// Guards against a timed-out call that the server goes on with, and against results that are
    /// never freed, as after an owner's death: if their storage counted as free, the next calls
    /// would find none. Such results expire, so the storage becomes free again over time.
    pub(super) fn add_untracked(&mut self, server: &ServerIncarnation, bytes: u64, now: Duration) {
        if let Some((spec, server)) = self.spec.zip(self.servers.get_mut(server)) {
            server.untracked_bytes = server.untracked_bytes(spec.result_retention, now) + bytes;
            server.untracked_at = now;
        }
    }

    pub(super) fn reserve(&mut self, server: &ServerIncarnation, bytes: u64) {
        self.residence.add(bytes_as_f64(bytes));
        if let Some(server) = self.servers.get_mut(server) {
            server.reserved_bytes += bytes;
        }
    }

    pub(super) fn release(&mut self, server: &ServerIncarnation, bytes: u64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.reserved_bytes = server.reserved_bytes.saturating_sub(bytes);
        }
    }

    /// Whether a server can take a call now.
    pub(super) fn has_available(&self, now: Duration) -> bool {
        self.available(now).next().is_some()
    }

    /// Servers that can take a call now.
    pub(super) fn available(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerIncarnation, &StageServer)> {
        let slots = self.spec.map_or(0, |spec| spec.slots.max(1));
        let has_slot = move |server: &StageServer| server.calls < slots && server.busy_until <= now;
        let has_share = move |incarnation: &ServerIncarnation, server: &StageServer| {
            let share = server.send_share(now);
            share.is_none_or(|share| self.recent_sends.can_send(incarnation, share, now))
        };
        let usable = self.usable(now);
        usable
            .filter(move |(incarnation, server)| has_slot(server) && has_share(incarnation, server))
    }

    /// Servers that may be used.
    pub(super) fn usable(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerIncarnation, &StageServer)> {
        let servers = self.servers.iter();
        servers.filter(move |(_, server)| server.ejected_until <= now && server.is_usable(now))
    }

    /// Time until a server may be used again if all those that may be used back off now; none if
    /// one may be used now, or none at all.
    pub(super) fn backoff_left(&self, now: Duration) -> Option<Duration> {
        if self.servers.values().any(|server| server.is_usable(now)) {
            return None;
        }
        let servers = self.servers.values();
        let ends = servers.filter_map(|server| server.server_availability.backoff_until());
        ends.min().map(|end| end.saturating_sub(now))
    }
}

const fn usable_bytes(spec: BatchSpec) -> u64 {
    spec.result_capacity_bytes / 100 * USABLE_CAPACITY_PERCENT
}

/// Pieces in a call to a server, by its slowness: a slow one would hold all of a full call's pieces
/// for as many times longer. It still gets calls, which show when it has recovered.
pub(super) fn size_by_pace(pieces: usize, slowness: f64) -> usize {
    if slowness < MIN_PACED_SLOWNESS {
        return pieces;
    }
    let fewer = (as_f64(pieces) / slowness).ceil();
    let sizes = 1..pieces;
    sizes.rev().find(|size| as_f64(*size) <= fewer).unwrap_or(1)
}

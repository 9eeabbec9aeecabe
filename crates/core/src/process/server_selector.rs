//! Which backend server a request is sent to directly.
//!
//! Plain requests join the server with the least expected wait, by the entry's own count in flight
//! and the load that servers tell. Requests of engines go where their prompt's shared part was read
//! before, the same server from every entry, unless that one is nearly full and has much more in
//! flight than the rest.
//! A cold server is chosen only where no other one has place: it is slow, and takes few.
//! A server that fails several times in a row is left out for a while, never more than half of them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::connection_share::ConnectionShare;
use super::count::as_f64;
use super::load_snapshot::{LoadSnapshot, OptionalNumber};
use super::rendezvous;
use super::server_availability::UsableServers;
use super::server_list::ServerRecord;
use crate::id::{InstanceId, ServerIncarnation, ZoneId};

/// Failures in a row after which a server is left out.
const FAILURES_OUT: u32 = 2;
/// First time that a server is left out; doubles up to the longest.
const FIRST_OUT: Duration = Duration::from_millis(700);
/// Longest time that a server is left out.
const LONGEST_OUT: Duration = Duration::from_secs(6);
/// Part of each new sample in the smoothed time; about the last ten samples count.
const SAMPLE_SHARE: f64 = 0.15;
/// Time after which an unused server's smoothed time no longer counts, so that it is tried again.
const SAMPLE_LIFE: Duration = Duration::from_secs(3);
/// Age up to which a told load counts.
const LOAD_LIFE: Duration = Duration::from_millis(500);
/// Age up to which an engine's told load counts: its requests last for seconds.
const ENGINE_LOAD_LIFE: Duration = Duration::from_secs(2);
/// Part of an engine's slots up to which it keeps its affinity: what is left takes requests that
/// other entries have sent meanwhile. Measured: see DECISIONS.md, "Affinity while there is place".
const AFFINITY_PART: f64 = 0.75;
/// Own requests in flight up to which affinity needs no comparison.
const AFFINITY_FLOOR: usize = 4;
/// Times the mean in flight up to which a server keeps its affinity.
const AFFINITY_FACTOR: f64 = 1.6;
/// Expected wait that a server in another availability zone adds.
const ZONE_COST_MS: f64 = 3.0;

/// Load that a server told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests in work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// How a direct send ended, as far as the server's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// A whole answer came.
    Answered,
    /// The server was full or would not run it.
    Rejected,
    /// No connection to it came about.
    Unreachable,
    /// Its connection ended, or its answer was broken.
    Failed,
    /// The caller left or the time was over; says nothing of the server.
    Abandoned,
}

/// A change of what a server's sends say of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// It failed several times in a row.
    Ejected,
    /// It answered again.
    Readmitted,
}

/// The entry that sends, as far as its choice of a server goes.
#[derive(Debug, Clone, Copy)]
pub struct SendingEntry<'a> {
    zone: &'a ZoneId,
    /// Tells it from other entries.
    seed: u64,
    share: ConnectionShare,
}

impl<'a> SendingEntry<'a> {
    /// An entry in a zone, with its share of the service's connections.
    #[must_use]
    pub fn new(id: &InstanceId, zone: &'a ZoneId, share: ConnectionShare) -> Self {
        Self {
            zone,
            seed: rendezvous::score(0, id),
            share,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Track {
    in_flight: usize,
    smoothed_ms: Option<f64>,
    sampled_at: Duration,
    told: Option<(ServerLoad, Duration)>,
    failures: u32,
    out_until: Duration,
}

impl Track {
    fn is_out(&self, now: Duration) -> bool {
        self.out_until > now
    }

    fn waiting_ahead(&self, load_life: Duration, now: Duration) -> f64 {
        let told = self
            .told
            .filter(|(_, at)| now.saturating_sub(*at) <= load_life);
        let told = told.map_or(0, |(load, _)| load.running + load.waiting);
        let own = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        // The server's own count holds ours as well as other entries'.
        f64::from(own.max(told))
    }

    fn time_ms(&self, now: Duration) -> Option<f64> {
        let is_recent = now.saturating_sub(self.sampled_at) <= SAMPLE_LIFE;
        self.smoothed_ms.filter(|_| is_recent)
    }
}

/// What this entry knows of each backend server by its own sends.
#[derive(Debug, Clone, Default)]
pub struct ServerSelector {
    tracks: BTreeMap<ServerIncarnation, Track>,
}

impl ServerSelector {
    /// The server with the least expected wait for a plain request, among those that the entry
    /// keeps to; another one only when those have as much of it in work as its share allows.
    #[must_use]
    pub fn select_plain<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        entry: SendingEntry<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let has_place = |server: &ServerRecord| self.fullness(server, LOAD_LIFE, now) < 1.0;
        self.least_wait(&self.candidates(servers, tried, has_place, now), entry, now)
    }

    fn least_wait<'a>(
        &self,
        all: &[&'a ServerRecord],
        entry: SendingEntry<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let usual_ms = self.usual_ms(all, now);
        // Equal servers are told apart differently by each entry: entries that start together
        // would otherwise all go to the first one.
        let cost = |server: &&ServerRecord| {
            let own = Reverse(rendezvous::score(entry.seed, server.incarnation.id()));
            (self.cost_ms(server, entry.zone, usual_ms, now), own)
        };
        let least = |servers: &mut dyn Iterator<Item = &'a ServerRecord>| {
            let costs = servers.map(|server| (cost(&server), server));
            let least = costs.min_by(|((a, own_a), _), ((b, own_b), _)| {
                a.total_cmp(b).then_with(|| own_a.cmp(own_b))
            });
            least.map(|(_, server)| server)
        };
        let has_place = |server: &&ServerRecord| {
            self.in_flight(&server.incarnation) < entry.share.connections()
        };
        let kept_to = entry.share.keep_to(all.to_vec(), entry.zone, entry.seed);
        least(&mut kept_to.into_iter().filter(has_place))
            .or_else(|| least(&mut all.iter().copied().filter(has_place)))
            .or_else(|| least(&mut all.iter().copied()))
    }

    /// Mean of the servers' smoothed times, for those that have none.
    fn usual_ms(&self, servers: &[&ServerRecord], now: Duration) -> f64 {
        let times = servers
            .iter()
            .filter_map(|server| self.track(&server.incarnation)?.time_ms(now));
        let (sum, count) = times.fold((0.0, 0_u32), |(sum, count), ms| (sum + ms, count + 1));
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Expected wait at a server.
    fn cost_ms(&self, server: &ServerRecord, zone: &ZoneId, usual_ms: f64, now: Duration) -> f64 {
        let track = self.track(&server.incarnation);
        let ahead = track.map_or(0.0, |track| track.waiting_ahead(LOAD_LIFE, now));
        let time_ms = track
            .and_then(|track| track.time_ms(now))
            .unwrap_or(usual_ms);
        let slots = f64::from(u32::try_from(server.slots.max(1)).unwrap_or(1));
        let away_ms = if server.zone == *zone {
            0.0
        } else {
            ZONE_COST_MS
        };
        // Half a slot's worth of weight before the slots are full spreads an idle service.
        time_ms * (1.0 + ahead / slots) + away_ms
    }

    /// The engine for a prompt whose last shared part has a name.
    #[must_use]
    pub fn select_engine<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        shared_part: &str,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let has_place = |server: &ServerRecord| !self.is_nearly_full(server, now);
        let mut servers = self.candidates(servers, tried, has_place, now);
        let seed = rendezvous::score(1, shared_part);
        servers
            .sort_by_cached_key(|server| Reverse(rendezvous::score(seed, server.incarnation.id())));
        let mut mean = None;
        // A prompt that is read elsewhere is read anew: only a full engine is worth that.
        let mut has_place = |server: &&&ServerRecord| {
            if !self.is_nearly_full(server, now) {
                return true;
            }
            let own = self.in_flight(&server.incarnation);
            let mean = *mean.get_or_insert_with(|| self.mean_in_flight(&servers));
            own < AFFINITY_FLOOR || as_f64(own) < mean * AFFINITY_FACTOR
        };
        let near = servers.iter().find(|server| has_place(server));
        near.or_else(|| servers.first()).copied()
    }

    fn is_nearly_full(&self, server: &ServerRecord, now: Duration) -> bool {
        self.fullness(server, ENGINE_LOAD_LIFE, now) >= AFFINITY_PART
    }

    /// Requests ahead at a server, in parts of its slots.
    fn fullness(&self, server: &ServerRecord, load_life: Duration, now: Duration) -> f64 {
        let track = self.track(&server.incarnation);
        let ahead = track.map_or(0.0, |track| track.waiting_ahead(load_life, now));
        ahead / f64::from(u32::try_from(server.slots.max(1)).unwrap_or(1))
    }

    fn mean_in_flight(&self, servers: &[&ServerRecord]) -> f64 {
        let in_flight = servers
            .iter()
            .map(|server| self.in_flight(&server.incarnation));
        as_f64(in_flight.sum::<usize>()) / as_f64(servers.len().max(1))
    }

    /// Counts a send.
    pub fn record_send(&mut self, server: &ServerIncarnation) {
        self.tracks.entry(server.clone()).or_default().in_flight += 1;
    }

    /// Takes the end of a send; says whether the server is left out or taken back by it.
    pub fn record_end(
        &mut self,
        server: &ServerIncarnation,
        end: SendEnd,
        elapsed: Duration,
        now: Duration,
    ) -> Option<HealthChange> {
        let track = self.tracks.get_mut(server)?;
        let was_failing = track.failures >= FAILURES_OUT;
        track.in_flight = track.in_flight.saturating_sub(1);
        match end {
            SendEnd::Answered => {
                track.failures = 0;
                let sample_ms = elapsed.as_secs_f64() * 1_000.0;
                let smoothed_ms = track.time_ms(now).unwrap_or(sample_ms);
                track.smoothed_ms = Some(smoothed_ms + SAMPLE_SHARE * (sample_ms - smoothed_ms));
                track.sampled_at = now;
            }
            SendEnd::Failed | SendEnd::Unreachable => {
                // One that takes no connection is not there. Before hundreds of servers an entry
                // seldom meets the same one twice, so a second sign would come much too late.
                let signs = if end == SendEnd::Failed {
                    1
                } else {
                    FAILURES_OUT
                };
                track.failures += signs;
                if track.failures >= FAILURES_OUT {
                    let doubled = FIRST_OUT * (1 << (track.failures - FAILURES_OUT).min(4));
                    track.out_until = now + doubled.min(LONGEST_OUT);
                }
            }
            SendEnd::Rejected | SendEnd::Abandoned => {}
        }
        match (was_failing, track.failures >= FAILURES_OUT) {
            (false, true) => Some(HealthChange::Ejected),
            (true, false) => Some(HealthChange::Readmitted),
            _ => None,
        }
    }

    /// Takes the load that a server told.
    pub fn record_load(&mut self, server: &ServerIncarnation, load: ServerLoad, now: Duration) {
        self.tracks.entry(server.clone()).or_default().told = Some((load, now));
    }

    /// Requests of this entry at a server.
    #[must_use]
    pub fn in_flight(&self, server: &ServerIncarnation) -> usize {
        self.track(server).map_or(0, |track| track.in_flight)
    }

    /// What a choice sees of a server now.
    #[must_use]
    pub fn load_snapshot(&self, server: &ServerIncarnation, now: Duration) -> LoadSnapshot {
        let Some(track) = self.track(server) else {
            return LoadSnapshot::default();
        };
        let told = track
            .told
            .map(|(load, _)| u64::from(load.running + load.waiting));
        let told_age = track.told.map(|(_, at)| now.saturating_sub(at));
        LoadSnapshot {
            in_flight: track.in_flight,
            reported: OptionalNumber(told),
            reported_age_ms: told_age.map_or_else(OptionalNumber::default, OptionalNumber::of_ms),
        }
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.tracks
            .retain(|id, track| track.in_flight > 0 || is_known(id));
    }

    fn track(&self, server: &ServerIncarnation) -> Option<&Track> {
        self.tracks.get(server)
    }

    /// Servers to choose from: cold ones only while no other one has place.
    fn candidates<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        has_place: impl Fn(&ServerRecord) -> bool,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let free = self.in_use(servers.free.into_iter(), tried, now);
        if servers.cold.is_empty() || free.iter().any(|server| has_place(server)) {
            return free;
        }
        let cold = self.in_use(servers.cold.into_iter(), tried, now);
        if cold.is_empty() { free } else { cold }
    }

    /// Servers that are not tried and not left out; all untried ones when too many are out.
    fn in_use<'a>(
        &self,
        servers: impl Iterator<Item = &'a ServerRecord>,
        tried: &BTreeSet<ServerIncarnation>,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let untried: Vec<_> = servers
            .filter(|server| !tried.contains(&server.incarnation))
            .collect();
        if !self.tracks.values().any(|track| track.is_out(now)) {
            return untried;
        }
        let is_in = |server: &&ServerRecord| {
            self.track(&server.incarnation)
                .is_none_or(|track| !track.is_out(now))
        };
        let healthy: Vec<_> = untried.iter().copied().filter(is_in).collect();
        // When most look sick, the cause is not theirs: all are used rather than a few overloaded.
        if healthy.len() * 2 < untried.len() {
            untried
        } else {
            healthy
        }
    }
}

//! Selects a backend server for a direct send.
//!
//! Plain requests go to the server with the shortest expected wait, by the entry's own count in
//! flight and the reported load. Engine requests go to the engine that has read the shared prefix
//! of their prompt before, the same from every entry, unless that engine is nearly full and has
//! much more in flight than the others; where engines differ in speed, by their expected times. Cold
//! servers are selected only if no other server has
//! capacity, as they are slow and accept few requests. A server that has turned requests away gets
//! few at first after the backoff that it requested. A server that fails several times in a row
//! is ejected for a while, but never more than half of them.

mod engine_choice;
mod home_splits;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use self::home_splits::HomeSplits;
use super::connection_share::ConnectionShare;
use super::engine_speed::EngineSpeeds;
use super::load_snapshot::{LoadSnapshot, OptionalNumber};
use super::rendezvous;
use super::server_availability::UsableServers;
use super::server_list::ServerRecord;
use crate::id::{InstanceId, ServerIncarnation, ZoneId};

/// Consecutive failures from which a server is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// Duration of the first ejection; doubles up to the longest.
const MIN_EJECTION: Duration = Duration::from_millis(700);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// Weight of each new sample in the smoothed time; about the last ten samples count.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Time after which an unused server's smoothed time expires, so that it is tried again.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);
/// Age up to which a reported load counts.
const LOAD_LIFETIME: Duration = Duration::from_millis(500);
/// Age up to which an engine's reported load counts: its requests last for seconds.
const ENGINE_LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Fraction of an engine's slots up to which affinity applies: the rest is for requests that other
/// entries have sent meanwhile.
const AFFINITY_MAX_FULLNESS: f64 = 0.75;
/// Requests in flight at a server from which it counts as recovered from a backoff.
const MAX_RECOVERING_IN_FLIGHT: usize = 32;
/// Time after a backoff from which it no longer bounds what is in flight.
const RECOVERY_LIFETIME: Duration = Duration::from_secs(10);
/// Expected wait that is added for a server in another availability zone.
const ZONE_COST_MS: f64 = 3.0;

/// Load that a server reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that are being processed.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it processes at once.
    pub slots: u32,
}

/// How a direct send ended, as far as it concerns the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// A complete answer arrived.
    Answered,
    /// The server was full or refused to run the request.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The connection ended, or the answer was malformed.
    Failed,
    /// The caller left or the deadline passed; tells nothing about the server.
    Abandoned,
}

/// A change of a server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// It failed several times in a row and is ejected.
    Ejected,
    /// It answered again and is readmitted.
    Readmitted,
}

/// The sending entry's properties that influence the selection.
#[derive(Debug, Clone, Copy)]
pub struct SendingEntry<'a> {
    zone: &'a ZoneId,
    /// Distinguishes it from other entries.
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
struct ServerTracker {
    in_flight: usize,
    /// Bytes of the bodies of these requests.
    body_bytes: usize,
    smoothed_ms: Option<f64>,
    sampled_at: Duration,
    reported: Option<(ServerLoad, Duration)>,
    /// Duration of work on its host in percent, stated with the last reported load.
    work_percent: Option<u32>,
    failures: u32,
    ejected_until: Duration,
    /// When it was ejected, until it is readmitted.
    ejected_at: Option<Duration>,
    /// Set from a requested backoff until the server has accepted enough again.
    recovery: Option<Recovery>,
}

/// How much may be in flight at a server after its backoff.
#[derive(Debug, Clone, Copy)]
struct Recovery {
    /// End of the backoff.
    from: Duration,
    max_in_flight: usize,
    /// In flight up to which each accepted request allows twice as many.
    fast_until: usize,
    /// Requests accepted since `max_in_flight` was last raised.
    accepted: usize,
}

impl ServerTracker {
    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until > now
    }

    fn is_full_after_backoff(&self, now: Duration) -> bool {
        self.recovery.is_some_and(|recovery| {
            now.saturating_sub(recovery.from) < RECOVERY_LIFETIME
                && self.in_flight >= recovery.max_in_flight
        })
    }

    fn requests_ahead(&self, load_lifetime: Duration, now: Duration) -> f64 {
        let reported = self
            .reported
            .filter(|(_, at)| now.saturating_sub(*at) <= load_lifetime);
        let reported = reported.map_or(0, |(load, _)| load.running + load.waiting);
        let own = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        // The server's own count includes the requests of this entry and of others.
        f64::from(own.max(reported))
    }

    fn recent_time_ms(&self, now: Duration) -> Option<f64> {
        let is_recent = now.saturating_sub(self.sampled_at) <= SAMPLE_LIFETIME;
        self.smoothed_ms.filter(|_| is_recent)
    }
}

/// What this entry knows of each backend server from its own sends.
#[derive(Debug, Clone, Default)]
pub struct ServerSelector {
    trackers: BTreeMap<ServerIncarnation, ServerTracker>,
    /// Measured speed of engines; empty where it is not used.
    engine_speeds: EngineSpeeds,
    home_splits: HomeSplits,
}

impl ServerSelector {
    /// What is known of the engines' speed.
    #[must_use]
    pub const fn engine_speeds(&self) -> &EngineSpeeds {
        &self.engine_speeds
    }

    /// What is known of the engines' speed, to record more of it.
    pub const fn engine_speeds_mut(&mut self) -> &mut EngineSpeeds {
        &mut self.engine_speeds
    }

    /// The server with the shortest expected wait for a plain request, among the entry's share of
    /// servers; another server only if all of those have as many requests in flight as the share
    /// allows.
    #[must_use]
    pub fn select_plain<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        entry: SendingEntry<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let has_capacity = |server: &ServerRecord| self.fullness(server, LOAD_LIFETIME, now) < 1.0;
        self.select_least_wait(
            &self.candidates(servers, tried, has_capacity, now),
            entry,
            now,
        )
    }

    fn select_least_wait<'a>(
        &self,
        all: &[&'a ServerRecord],
        entry: SendingEntry<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let mean_ms = self.mean_ms(all, now);
        // Each entry breaks ties differently: entries that start together would otherwise all
        // select the same server.
        let cost = |server: &&ServerRecord| {
            let tie_break = Reverse(rendezvous::score(entry.seed, server.incarnation.id()));
            (
                self.expected_wait_ms(server, entry.zone, mean_ms, now),
                tie_break,
            )
        };
        let least = |servers: &mut dyn Iterator<Item = &'a ServerRecord>| {
            let costs = servers.map(|server| (cost(&server), server));
            let least = costs.min_by(|((a, tie_a), _), ((b, tie_b), _)| {
                a.total_cmp(b).then_with(|| tie_a.cmp(tie_b))
            });
            least.map(|(_, server)| server)
        };
        let has_capacity = |server: &&ServerRecord| {
            self.in_flight(&server.incarnation) < entry.share.connections()
        };
        let shared_servers = entry
            .share
            .select_servers(all.to_vec(), entry.zone, entry.seed);
        least(&mut shared_servers.into_iter().filter(has_capacity))
            .or_else(|| least(&mut all.iter().copied().filter(has_capacity)))
            .or_else(|| least(&mut all.iter().copied()))
    }

    /// Mean of the servers' smoothed times, for servers without samples.
    fn mean_ms(&self, servers: &[&ServerRecord], now: Duration) -> f64 {
        let times = servers
            .iter()
            .filter_map(|server| self.tracker(&server.incarnation)?.recent_time_ms(now));
        let (sum, count) = times.fold((0.0, 0_u32), |(sum, count), ms| (sum + ms, count + 1));
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Expected wait at a server.
    fn expected_wait_ms(
        &self,
        server: &ServerRecord,
        zone: &ZoneId,
        mean_ms: f64,
        now: Duration,
    ) -> f64 {
        let tracker = self.tracker(&server.incarnation);
        let ahead = tracker.map_or(0.0, |tracker| tracker.requests_ahead(LOAD_LIFETIME, now));
        let recent_time_ms = tracker
            .and_then(|tracker| tracker.recent_time_ms(now))
            .unwrap_or(mean_ms);
        let slots = f64::from(u32::try_from(server.slots.max(1)).unwrap_or(1));
        let zone_cost_ms = if server.zone == *zone {
            0.0
        } else {
            ZONE_COST_MS
        };
        // Requests ahead add to the wait even while slots are free, which spreads the load of an
        // idle service.
        recent_time_ms * (1.0 + ahead / slots) + zone_cost_ms
    }

    /// Time since a server was ejected, if it has not been readmitted.
    #[must_use]
    pub fn ejected_for(&self, server: &ServerIncarnation, now: Duration) -> Option<Duration> {
        let ejected_at = self.tracker(server)?.ejected_at?;
        Some(now.saturating_sub(ejected_at))
    }

    /// Whether a server's last send failed, or it is ejected.
    #[must_use]
    pub fn is_failing(&self, server: &ServerIncarnation, now: Duration) -> bool {
        let tracker = self.tracker(server);
        tracker.is_some_and(|tracker| tracker.failures > 0 || tracker.is_ejected(now))
    }

    /// Requests at an engine, as a fraction of its slots.
    #[must_use]
    pub fn engine_fullness(&self, server: &ServerRecord, now: Duration) -> f64 {
        self.fullness(server, ENGINE_LOAD_LIFETIME, now)
    }

    fn is_nearly_full(&self, server: &ServerRecord, now: Duration) -> bool {
        self.engine_fullness(server, now) >= AFFINITY_MAX_FULLNESS
    }

    /// Requests ahead at a server, as a fraction of its slots.
    fn fullness(&self, server: &ServerRecord, load_lifetime: Duration, now: Duration) -> f64 {
        let tracker = self.tracker(&server.incarnation);
        let ahead = tracker.map_or(0.0, |tracker| tracker.requests_ahead(load_lifetime, now));
        ahead / f64::from(u32::try_from(server.slots.max(1)).unwrap_or(1))
    }

    /// Records a send.
    pub fn record_send(&mut self, server: &ServerIncarnation) {
        self.trackers.entry(server.clone()).or_default().in_flight += 1;
    }

    /// Records the end of a send; returns whether the server is ejected or readmitted by it.
    pub fn record_end(
        &mut self,
        server: &ServerIncarnation,
        end: SendEnd,
        elapsed: Duration,
        now: Duration,
    ) -> Option<HealthChange> {
        let tracker = self.trackers.get_mut(server)?;
        let was_failing = tracker.failures >= FAILURES_TO_EJECT;
        tracker.in_flight = tracker.in_flight.saturating_sub(1);
        match end {
            SendEnd::Answered => {
                tracker.failures = 0;
                let sample_ms = elapsed.as_secs_f64() * 1_000.0;
                let smoothed_ms = tracker.recent_time_ms(now).unwrap_or(sample_ms);
                tracker.smoothed_ms = Some(smoothed_ms + SAMPLE_WEIGHT * (sample_ms - smoothed_ms));
                tracker.sampled_at = now;
            }
            SendEnd::Failed | SendEnd::Unreachable => {
                // A server that accepts no connection is not running. With hundreds of servers an
                // entry seldom selects the same one twice, so a second failure would come much too
                // late.
                let new_failures = if end == SendEnd::Failed {
                    1
                } else {
                    FAILURES_TO_EJECT
                };
                tracker.failures += new_failures;
                if tracker.failures >= FAILURES_TO_EJECT {
                    let doubled =
                        MIN_EJECTION * (1 << (tracker.failures - FAILURES_TO_EJECT).min(4));
                    tracker.ejected_until = now + doubled.min(MAX_EJECTION);
                }
            }
            SendEnd::Rejected | SendEnd::Abandoned => {}
        }
        match (was_failing, tracker.failures >= FAILURES_TO_EJECT) {
            (false, true) => {
                tracker.ejected_at = Some(now);
                Some(HealthChange::Ejected)
            }
            (true, false) => {
                tracker.ejected_at = None;
                Some(HealthChange::Readmitted)
            }
            _ => None,
        }
    }

    /// Records that a server wants no requests until a time.
    ///
    /// After it, one request may be in flight there at first; with each that the server accepts twice
    /// as many, up to half of those that were in flight when it turned one away, and one more for
    /// each round of them from then on. All that it turned away would otherwise return at once and
    /// overload it again.
    pub fn record_backoff(&mut self, server: &ServerIncarnation, until: Duration) {
        let tracker = self.trackers.entry(server.clone()).or_default();
        let max_in_flight = tracker.in_flight / 2;
        // Later rejections of the same burst find fewer in flight.
        let before = tracker.recovery.filter(|before| before.accepted == 0);
        tracker.recovery = Some(Recovery {
            from: until,
            max_in_flight: 1,
            fast_until: before.map_or(max_in_flight, |before| before.fast_until.max(max_in_flight)),
            accepted: 0,
        });
    }

    /// Whether a server has as much in flight as it may have soon after a backoff.
    #[must_use]
    pub fn is_full_after_backoff(&self, server: &ServerIncarnation, now: Duration) -> bool {
        let tracker = self.tracker(server);
        tracker.is_some_and(|tracker| tracker.is_full_after_backoff(now))
    }

    /// Records that a server has begun to answer a request that it accepted.
    pub fn record_accepted(&mut self, server: &ServerIncarnation, now: Duration) {
        let Some(tracker) = self.trackers.get_mut(server) else {
            return;
        };
        // An answer to a request from before the backoff tells nothing about what it takes now.
        if let Some(recovery) = &mut tracker.recovery
            && recovery.from <= now
        {
            recovery.accepted += 1;
            if recovery.max_in_flight < recovery.fast_until {
                recovery.max_in_flight = (recovery.max_in_flight * 2).min(recovery.fast_until);
                recovery.accepted = 1;
            } else if recovery.accepted > recovery.max_in_flight {
                recovery.max_in_flight += 1;
                recovery.accepted = 1;
            }
            if recovery.max_in_flight > MAX_RECOVERING_IN_FLIGHT {
                tracker.recovery = None;
            }
        }
    }

    /// Whether a server may be sent a body in addition to those that this entry has there: one
    /// alone always, and more of them up to a bound.
    #[must_use]
    pub fn may_take_body(
        &self,
        server: &ServerIncarnation,
        body_bytes: usize,
        max_bytes: usize,
    ) -> bool {
        let present_bytes = self.tracker(server).map_or(0, |tracker| tracker.body_bytes);
        present_bytes == 0 || body_bytes == 0 || present_bytes + body_bytes <= max_bytes
    }

    /// Records a body that is sent to a server.
    pub fn record_body_sent(&mut self, server: &ServerIncarnation, body_bytes: usize) {
        self.trackers.entry(server.clone()).or_default().body_bytes += body_bytes;
    }

    /// Records that a server no longer needs a body.
    pub fn record_body_done(&mut self, server: &ServerIncarnation, body_bytes: usize) {
        if let Some(tracker) = self.trackers.get_mut(server) {
            tracker.body_bytes = tracker.body_bytes.saturating_sub(body_bytes);
        }
    }

    /// Records the load that a server reported.
    pub fn record_load(&mut self, server: &ServerIncarnation, load: ServerLoad, now: Duration) {
        self.trackers.entry(server.clone()).or_default().reported = Some((load, now));
        self.engine_speeds.record_running(server, load.running, now);
    }

    /// Records the duration of work on a server's host in percent of the usual one, as stated with
    /// the last reported load; it counts for no selection.
    pub fn record_work_percent(&mut self, server: &ServerIncarnation, percent: Option<u32>) {
        let tracker = self.trackers.entry(server.clone()).or_default();
        tracker.work_percent = percent;
    }

    /// The load that an engine reported, if it counts still, and how much it does by its age, from 1
    /// to 0.
    #[must_use]
    pub fn reported_engine_load(
        &self,
        server: &ServerIncarnation,
        now: Duration,
    ) -> Option<(ServerLoad, f64)> {
        let (load, at) = self.tracker(server)?.reported?;
        let age = now.saturating_sub(at);
        let freshness = 1.0 - age.as_secs_f64() / ENGINE_LOAD_LIFETIME.as_secs_f64();
        (age <= ENGINE_LOAD_LIFETIME).then_some((load, freshness))
    }

    /// Number of this entry's requests at a server.
    #[must_use]
    pub fn in_flight(&self, server: &ServerIncarnation) -> usize {
        self.tracker(server).map_or(0, |tracker| tracker.in_flight)
    }

    /// The load of a server that a selection now is based on.
    #[must_use]
    pub fn load_snapshot(&self, server: &ServerIncarnation, now: Duration) -> LoadSnapshot {
        let Some(tracker) = self.tracker(server) else {
            return LoadSnapshot::default();
        };
        let reported = tracker
            .reported
            .map(|(load, _)| u64::from(load.running + load.waiting));
        let reported_age = tracker.reported.map(|(_, at)| now.saturating_sub(at));
        LoadSnapshot {
            in_flight: tracker.in_flight,
            reported: OptionalNumber(reported),
            reported_age_ms: reported_age
                .map_or_else(OptionalNumber::default, OptionalNumber::of_ms),
            host_percent: OptionalNumber(tracker.work_percent.map(u64::from)),
        }
    }

    /// Removes servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.engine_speeds.retain(&is_known);
        self.home_splits.retain(&is_known);
        self.trackers
            .retain(|id, tracker| tracker.in_flight > 0 || is_known(id));
    }

    fn tracker(&self, server: &ServerIncarnation) -> Option<&ServerTracker> {
        self.trackers.get(server)
    }

    /// Servers to select from: cold ones only while no other server has capacity.
    fn candidates<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        has_capacity: impl Fn(&ServerRecord) -> bool,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let free = self.untried_healthy(servers.free.into_iter(), tried, now);
        if servers.cold.is_empty() || free.iter().any(|server| has_capacity(server)) {
            return free;
        }
        let cold = self.untried_healthy(servers.cold.into_iter(), tried, now);
        if cold.is_empty() { free } else { cold }
    }

    /// Untried servers that are not ejected; all untried ones if too many are ejected.
    fn untried_healthy<'a>(
        &self,
        servers: impl Iterator<Item = &'a ServerRecord>,
        tried: &BTreeSet<ServerIncarnation>,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let untried: Vec<_> = servers
            .filter(|server| !tried.contains(&server.incarnation))
            .filter(|server| !self.is_full_after_backoff(&server.incarnation, now))
            .collect();
        if !self
            .trackers
            .values()
            .any(|tracker| tracker.is_ejected(now))
        {
            return untried;
        }
        let is_healthy = |server: &&ServerRecord| {
            self.tracker(&server.incarnation)
                .is_none_or(|tracker| !tracker.is_ejected(now))
        };
        let healthy: Vec<_> = untried.iter().copied().filter(is_healthy).collect();
        // If most servers fail, the cause lies elsewhere: all are used rather than overloading a
        // few.
        if healthy.len() * 2 < untried.len() {
            untried
        } else {
            healthy
        }
    }
}

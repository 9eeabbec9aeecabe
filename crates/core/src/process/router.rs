//! Chooses a host for each attempt.
//!
//! An entry uses a stable subset of each service's hosts. It samples two of them, from its own
//! availability zone first, and takes the less loaded one by its own count in flight and by the
//! last report. The random sample limits the effect of a wrong report: a host that looks idle still
//! gets no more than its chance of being sampled. Hosts that fail or straggle are ejected for a
//! while, never more than a third of a service, and one repeatable request readmits each of them.

mod ejection;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::host_tracker::HostTracker;
use super::server_availability::ServerAvailability;
use super::{AttemptEnd, Refusal, RouterSettings, StageEstimate, rendezvous};
use crate::ResultCode;
use crate::id::{HostId, Incarnation, ServiceId, ZoneId};
use crate::unit::{Class, SidecarClock};
use crate::wire::{HostList, HostRecord, Stamp};

/// Retry delay when no host is available: about one change of the host list.
const NO_HOST_RETRY_AFTER_MS: u64 = 1_000;
/// Load above the average from which a request is not sent to the host that holds its prefix.
const AFFINITY_SLACK: f64 = 0.5;

/// Hosts of all services, as seen by one entry.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use amaranthscale_core::process::{Router, RouterSettings};
/// use amaranthscale_core::wire::{HostList, HostRecord, HostState};
///
/// let mut router = Router::new(RouterSettings::new("hall-a".parse().unwrap()), 7);
/// let record = HostRecord {
///     host: "host-1".parse().unwrap(),
///     address: "10.0.0.1:7000".parse().unwrap(),
///     region: "bc-coast".parse().unwrap(),
///     zone: "hall-a".parse().unwrap(),
///     service: Some("notify-svc".parse().unwrap()),
///     state: HostState::Live,
/// };
/// let list = HostList { version: 1, hosts: vec![record.clone()] };
/// router.set_hosts(&list, Duration::ZERO);
/// let service = "notify-svc".parse().unwrap();
/// let chosen = router.choose(&service, &[], None, Duration::ZERO);
/// assert_eq!(chosen, Ok(record.host));
/// ```
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    seed: u64,
    random: SmallRng,
    list_version: u64,
    hosts: BTreeMap<HostId, HostTracker>,
    subsets: BTreeMap<ServiceId, Vec<HostId>>,
    evacuated: BTreeSet<ZoneId>,
}

impl Router {
    /// A router without hosts; each entry needs its own seed.
    #[must_use]
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            random: SmallRng::seed_from_u64(seed),
            list_version: 0,
            hosts: BTreeMap::new(),
            subsets: BTreeMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Replaces the host list, unless the given one is older.
    pub fn set_hosts(&mut self, hosts: &HostList, now: Duration) {
        if hosts.version < self.list_version {
            return;
        }
        self.list_version = hosts.version;
        let mut previous = std::mem::take(&mut self.hosts);
        for record in hosts.hosts.iter().filter(|record| record.service.is_some()) {
            let tracker = previous.remove(&record.host);
            let mut tracker = tracker.unwrap_or_else(|| HostTracker::new(record.clone(), now));
            tracker.record = record.clone();
            self.hosts.insert(record.host.clone(), tracker);
        }
        self.choose_subsets();
    }

    /// Replaces the evacuated availability zones, whose hosts get no work.
    pub fn set_evacuated(&mut self, zones: &BTreeSet<ZoneId>) {
        if self.evacuated != *zones {
            self.evacuated.clone_from(zones);
            self.choose_subsets();
        }
    }

    /// Availability of a host, by the host list, its own report and the operators' evacuations.
    #[must_use]
    pub fn availability(&self, host: &HostId, now: Duration) -> ServerAvailability {
        let tracker = self.hosts.get(host);
        tracker.map_or(ServerAvailability::Unlisted, |tracker| {
            self.availability_of(tracker, now)
        })
    }

    fn availability_of(&self, tracker: &HostTracker, now: Duration) -> ServerAvailability {
        if self.evacuated.contains(&tracker.record.zone) {
            ServerAvailability::Evacuated
        } else if tracker.is_leaving() {
            ServerAvailability::Leaving
        } else if let Some(until) = tracker.backoff_until(now) {
            ServerAvailability::BackingOff { until }
        } else {
            ServerAvailability::Free
        }
    }

    /// Records the stamp of a host.
    pub fn observe(&mut self, host: &HostId, stamp: &Stamp, now: Duration) {
        let Some(tracker) = self.hosts.get_mut(host) else {
            return;
        };
        let was_leaving = tracker.is_leaving();
        tracker.observe(stamp, now);
        if tracker.is_leaving() != was_leaving {
            self.choose_subsets();
        }
    }

    /// Chooses a host of a service, except the excluded ones, for a call that may be repeated.
    pub fn choose(
        &mut self,
        service: &ServiceId,
        exclude: &[HostId],
        affinity: Option<u64>,
        now: Duration,
    ) -> Result<HostId, Refusal> {
        self.choose_for(service, exclude, affinity, true, now)
    }

    /// Chooses a host as [`choose`](Self::choose) does; a call that may not be repeated is never
    /// used to probe an ejected host.
    pub fn choose_for(
        &mut self,
        service: &ServiceId,
        exclude: &[HostId],
        affinity: Option<u64>,
        is_repeatable: bool,
        now: Duration,
    ) -> Result<HostId, Refusal> {
        // Guards against a settlement that is lost at a host known to fail: its caller would get
        // "outcome unknown" although healthy hosts are available. A repeatable probe is retried
        // elsewhere instead, so only such calls probe the host.
        if is_repeatable && let Some(host) = self.due_for_probe(service, exclude, now) {
            return Ok(host);
        }
        let usable = self.usable(service, exclude, now);
        if usable.is_empty() {
            return Err(self.no_host_refusal(service, now));
        }
        let holder = affinity.and_then(|prefix| self.prefix_holder(&usable, prefix, now));
        let chosen = holder.or_else(|| self.less_loaded(&usable, now));
        chosen.ok_or_else(|| Refusal::new(ResultCode::NoBackendServer, NO_HOST_RETRY_AFTER_MS))
    }

    /// Records that an attempt was sent to a host.
    pub fn started(&mut self, host: &HostId, now: Duration) {
        if let Some(tracker) = self.hosts.get_mut(host) {
            tracker.started(now);
        }
    }

    /// Records how an attempt at a host ended.
    pub fn ended(&mut self, host: &HostId, end: AttemptEnd, elapsed: Duration, now: Duration) {
        let Some(tracker) = self.hosts.get_mut(host) else {
            return;
        };
        tracker.ended(end, elapsed, now);
        if self.settings.has_ejection {
            self.update_health(host, end, elapsed, now);
        }
    }

    /// Expected time of a stage that starts now.
    #[must_use]
    pub fn estimate(&self, service: &ServiceId, class: Class, now: Duration) -> StageEstimate {
        let hosts = self.usable(service, &[], now);
        let tracks = hosts.iter().filter_map(|host| self.hosts.get(host));
        let estimates = tracks.filter_map(|tracker| tracker.estimate(class, now, &self.settings));
        let (mut queues, mut services): (Vec<_>, Vec<_>) = estimates
            .map(|estimate| (estimate.queue_ms, estimate.service_ms))
            .unzip();
        StageEstimate {
            queue_ms: median(&mut queues),
            service_ms: median(&mut services),
        }
    }

    /// The host list's record of a host.
    #[must_use]
    pub fn host(&self, host: &HostId) -> Option<&HostRecord> {
        self.hosts.get(host).map(|tracker| &tracker.record)
    }

    /// Incarnation of a host's sidecar, its clock at the last stamp, and when that stamp arrived.
    #[must_use]
    pub fn incarnation(&self, host: &HostId) -> Option<(Incarnation, SidecarClock, Duration)> {
        let last_stamp = self.hosts.get(host)?.last_stamp?;
        Some((last_stamp.incarnation, last_stamp.clock, last_stamp.at))
    }

    /// Ejected hosts of a service.
    pub fn ejected(&self, service: &ServiceId) -> impl Iterator<Item = &HostId> {
        let subset = self.subsets.get(service).into_iter().flatten();
        subset.filter(|host| self.hosts.get(*host).is_some_and(HostTracker::is_ejected))
    }

    /// Hosts of a service that this entry uses, including ejected ones.
    pub fn subset(&self, service: &ServiceId) -> impl Iterator<Item = &HostId> {
        self.subsets.get(service).into_iter().flatten()
    }

    fn choose_subsets(&mut self) {
        let mut by_service: BTreeMap<ServiceId, Vec<HostId>> = BTreeMap::new();
        let hosts = self.hosts.values();
        // Whether a host backs off changes with time, so it is checked at each choice.
        let is_usable = |tracker: &&HostTracker| {
            let availability = self.availability_of(tracker, Duration::ZERO);
            availability.is_usable_in_time()
        };
        for tracker in hosts.filter(is_usable) {
            if let Some(service) = &tracker.record.service {
                by_service
                    .entry(service.clone())
                    .or_default()
                    .push(tracker.record.host.clone());
            }
        }
        for hosts in by_service.values_mut() {
            hosts.sort_by_key(|host| std::cmp::Reverse(rendezvous::score(self.seed, host)));
            hosts.truncate(self.settings.subset_size.max(1));
        }
        self.subsets = by_service;
        self.readmit_above_cap();
    }

    /// Why a service has no usable host: its zones are evacuated, its servers back off, or there is
    /// none.
    fn no_host_refusal(&self, service: &ServiceId, now: Duration) -> Refusal {
        let of_service = self.hosts.values();
        let of_service =
            of_service.filter(|tracker| tracker.record.service.as_ref() == Some(service));
        let availabilities: Vec<_> = of_service
            .map(|tracker| self.availability_of(tracker, now))
            .collect();
        let ends = availabilities
            .iter()
            .filter_map(|availability| availability.backoff_until());
        if let Some(end) = ends.min() {
            let left_ms = u64::try_from(end.saturating_sub(now).as_millis()).unwrap_or(u64::MAX);
            return Refusal::new(ResultCode::ServersBackingOff, left_ms.max(1));
        }
        let is_any_evacuated = availabilities.contains(&ServerAvailability::Evacuated);
        let code = if is_any_evacuated && self.subset(service).next().is_none() {
            ResultCode::ZonesEvacuated
        } else {
            ResultCode::NoBackendServer
        };
        Refusal::new(code, NO_HOST_RETRY_AFTER_MS)
    }

    fn usable(&self, service: &ServiceId, exclude: &[HostId], now: Duration) -> Vec<HostId> {
        let healthy: Vec<_> = self
            .subset(service)
            .filter(|host| !exclude.contains(host))
            .filter(|host| {
                let tracker = &self.hosts[*host];
                !tracker.is_ejected() && tracker.backoff_until(now).is_none()
            })
            .cloned()
            .collect();
        let answering: Vec<_> = healthy
            .iter()
            .filter(|host| !self.hosts[*host].is_unresponsive(now, &self.settings))
            .cloned()
            .collect();
        // If no host responds, the cause is more likely this entry than the hosts.
        if answering.is_empty() {
            healthy
        } else {
            answering
        }
    }

    fn due_for_probe(
        &mut self,
        service: &ServiceId,
        exclude: &[HostId],
        now: Duration,
    ) -> Option<HostId> {
        let due = self
            .subset(service)
            .find(|host| {
                let tracker = &self.hosts[*host];
                !exclude.contains(host)
                    && tracker.is_due_for_probe(now, &self.settings)
                    && tracker.backoff_until(now).is_none()
            })?
            .clone();
        self.hosts.get_mut(&due)?.probe(now);
        Some(due)
    }

    /// The host that probably holds a prefix, unless it is busier than the others.
    fn prefix_holder(&self, hosts: &[HostId], prefix: u64, now: Duration) -> Option<HostId> {
        let holder = hosts
            .iter()
            .max_by_key(|host| rendezvous::score(prefix, host))?;
        let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        let total: f64 = hosts.iter().map(|host| self.load(host, now)).sum();
        let max_load = total / f64::from(count) + AFFINITY_SLACK;
        (self.load(holder, now) <= max_load).then(|| holder.clone())
    }

    fn less_loaded(&mut self, hosts: &[HostId], now: Duration) -> Option<HostId> {
        let in_own_zone: Vec<_> = hosts
            .iter()
            .filter(|host| self.is_in_own_zone(host))
            .cloned()
            .collect();
        let closest = self.less_loaded_of_two(&in_own_zone, now);
        match closest {
            Some(host) if self.load(&host, now) < self.settings.spill_load => Some(host),
            _ => self.less_loaded_of_two(hosts, now),
        }
    }

    fn less_loaded_of_two(&mut self, hosts: &[HostId], now: Duration) -> Option<HostId> {
        let candidates = if self.settings.has_two_choices { 2 } else { 1 };
        let sampled: Vec<_> = hosts
            .sample(&mut self.random, candidates)
            .cloned()
            .collect();
        let typical_ms = self.median_ms(hosts.iter()).unwrap_or(1.0);
        let cost = |host: &HostId| self.cost(host, typical_ms, now);
        sampled
            .into_iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn is_in_own_zone(&self, host: &HostId) -> bool {
        self.hosts[host].record.zone == self.settings.own_zone
    }

    fn load(&self, host: &HostId, now: Duration) -> f64 {
        self.hosts[host].load_per_slot(now, &self.settings)
    }

    /// Load weighted by the host's speed: at the same load, a slow host costs more.
    ///
    /// A host without samples counts as a typical one; if it counted as fast, it would attract all
    /// entries as soon as it appears.
    fn cost(&self, host: &HostId, typical_ms: f64, now: Duration) -> f64 {
        let tracker = &self.hosts[host];
        let speed_ms = tracker.smoothed_ms().unwrap_or(typical_ms).max(1.0);
        let refusal_factor = tracker.refusal_factor(now, &self.settings);
        (self.load(host, now) + 1.0) * speed_ms * refusal_factor
    }

    fn median_ms<'a>(&self, hosts: impl Iterator<Item = &'a HostId>) -> Option<f64> {
        let mut times: Vec<_> = hosts
            .filter_map(|host| self.hosts[host].smoothed_ms())
            .collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}

fn median(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

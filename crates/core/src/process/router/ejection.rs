//! Ejects and readmits hosts of a router.

use std::time::Duration;

use super::super::AttemptEnd;
use super::super::host_tracker::Health;
use super::Router;
use crate::id::{HostId, ServiceId};

/// Of each service, at most one in this many hosts is ejected; more would overload the rest.
const HOSTS_PER_EJECTED: usize = 3;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

impl Router {
    /// Updates the health of a service's hosts after an attempt at one of them has ended.
    pub(super) fn update_health(
        &mut self,
        host: &HostId,
        end: AttemptEnd,
        elapsed: Duration,
        now: Duration,
    ) {
        let tracker = &self.hosts[host];
        let Some(service) = tracker.record.service.clone() else {
            return;
        };
        if let Health::Probing { .. } = tracker.health {
            self.conclude_probe(&service, host, end, elapsed, now);
        } else if !tracker.is_ejected() && tracker.has_failed(&self.settings) {
            self.eject_within_cap(&service, host, now);
        }
        if let Some(straggler) = self.straggler(&service) {
            self.eject_within_cap(&service, &straggler, now);
        }
    }

    fn conclude_probe(
        &mut self,
        service: &ServiceId,
        host: &HostId,
        end: AttemptEnd,
        elapsed: Duration,
        now: Duration,
    ) {
        let is_slow = self.typical_ms(service, host).is_some_and(|typical_ms| {
            elapsed.as_secs_f64() * MS_PER_S > typical_ms * self.settings.straggler_factor
        });
        let Some(tracker) = self.hosts.get_mut(host) else {
            return;
        };
        match end {
            AttemptEnd::Complete if !is_slow => tracker.readmit(),
            // A probe that did not run has no result: the next request is the probe.
            AttemptEnd::Cancelled | AttemptEnd::Refused(_) => tracker.reschedule_probe(now),
            _ => tracker.eject(&self.settings, now),
        }
    }

    /// The slowest host, if it is much slower than the others.
    ///
    /// Checked after every attempt in the service, not only after the host's own: the choice of two
    /// soon sends a slow host nothing, so it would have no attempts of its own, and would be
    /// avoided without ever being ejected and probed.
    fn straggler(&self, service: &ServiceId) -> Option<HostId> {
        let healthy = self
            .subset(service)
            .filter(|host| !self.hosts[*host].is_ejected());
        let timed = healthy.filter_map(|host| Some((host, self.hosts[host].smoothed_ms()?)));
        let (slowest, slowest_ms) = timed.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let typical_ms = self.typical_ms(service, slowest)?;
        (slowest_ms > typical_ms * self.settings.straggler_factor).then(|| slowest.clone())
    }

    fn eject_within_cap(&mut self, service: &ServiceId, host: &HostId, now: Duration) {
        // Ejecting hosts moves their load to the rest. When a whole service becomes slow, each host
        // in turn would look like a straggler; the cap keeps two thirds in use.
        let max_ejected = self.subset(service).count() / HOSTS_PER_EJECTED;
        let is_used = self.subset(service).any(|used| used == host);
        if !is_used || self.ejected(service).count() >= max_ejected {
            return;
        }
        if let Some(tracker) = self.hosts.get_mut(host) {
            tracker.eject(&self.settings, now);
        }
    }

    /// Readmits hosts above the cap after a service has shrunk, the earliest due first.
    pub(super) fn readmit_above_cap(&mut self) {
        for hosts in self.subsets.values() {
            let mut ejected: Vec<_> = hosts
                .iter()
                .filter(|host| self.hosts[*host].is_ejected())
                .cloned()
                .collect();
            ejected.sort_by_key(|host| due_at(self.hosts[host].health));
            let excess = ejected
                .len()
                .saturating_sub(hosts.len() / HOSTS_PER_EJECTED);
            for host in &ejected[..excess] {
                if let Some(tracker) = self.hosts.get_mut(host) {
                    tracker.readmit();
                }
            }
        }
    }

    /// Median of the other hosts' smoothed times.
    fn typical_ms(&self, service: &ServiceId, except: &HostId) -> Option<f64> {
        let others = self.subset(service).filter(|host| *host != except);
        self.median_ms(others.filter(|host| !self.hosts[*host].is_ejected()))
    }
}

const fn due_at(health: Health) -> Duration {
    match health {
        Health::Healthy => Duration::ZERO,
        Health::Ejected { until, .. } => until,
        Health::Probing { since, .. } => since,
    }
}

//! When a router leaves hosts out, and when it takes them back.

use std::time::Duration;

use super::super::AttemptEnd;
use super::super::host_track::Health;
use super::Router;
use crate::id::{HostId, ServiceId};

/// At most one host in so many of a service is ejected; more would overload the rest.
const HOSTS_PER_EJECTED: usize = 3;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

impl Router {
    /// Judges a service after an attempt at one of its hosts has ended.
    pub(super) fn judge(
        &mut self,
        host: &HostId,
        end: AttemptEnd,
        elapsed: Duration,
        now: Duration,
    ) {
        let track = &self.hosts[host];
        let Some(service) = track.record.service.clone() else {
            return;
        };
        if let Health::Probing { .. } = track.health {
            self.judge_probe(&service, host, end, elapsed, now);
        } else if !track.is_out() && track.has_failed(&self.settings) {
            self.eject_within_cap(&service, host, now);
        }
        if let Some(straggler) = self.straggler(&service) {
            self.eject_within_cap(&service, &straggler, now);
        }
    }

    fn judge_probe(
        &mut self,
        service: &ServiceId,
        host: &HostId,
        end: AttemptEnd,
        elapsed: Duration,
        now: Duration,
    ) {
        let is_slow = self.usual_ms(service, host).is_some_and(|usual_ms| {
            elapsed.as_secs_f64() * MS_PER_S > usual_ms * self.settings.straggler_factor
        });
        let Some(track) = self.hosts.get_mut(host) else {
            return;
        };
        match end {
            AttemptEnd::Complete if !is_slow => track.readmit(),
            // A probe that never ran says nothing: the next request is a probe again.
            AttemptEnd::Cancelled | AttemptEnd::Refused(_) => track.await_probe(now),
            _ => track.eject(&self.settings, now),
        }
    }

    /// The slowest host, if it is slow beyond the others.
    ///
    /// Looked for at every end in the service and not only at its own: two choices soon send a
    /// slow host nothing, so that its own ends stop, and it would be shunned without a way back.
    fn straggler(&self, service: &ServiceId) -> Option<HostId> {
        let healthy = self
            .subset(service)
            .filter(|host| !self.hosts[*host].is_out());
        let timed = healthy.filter_map(|host| Some((host, self.hosts[host].smoothed_ms()?)));
        let (slowest, own_ms) = timed.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let usual_ms = self.usual_ms(service, slowest)?;
        (own_ms > usual_ms * self.settings.straggler_factor).then(|| slowest.clone())
    }

    fn eject_within_cap(&mut self, service: &ServiceId, host: &HostId, now: Duration) {
        // Ejecting hosts moves their load to the rest. When a whole service slows down, each host
        // in turn would look like a straggler; the cap keeps two thirds at work.
        let most = self.subset(service).count() / HOSTS_PER_EJECTED;
        let is_used = self.subset(service).any(|used| used == host);
        if !is_used || self.ejected(service).count() >= most {
            return;
        }
        if let Some(track) = self.hosts.get_mut(host) {
            track.eject(&self.settings, now);
        }
    }

    /// Readmits what a shrunken service can no longer leave out, the earliest due first.
    pub(super) fn readmit_above_cap(&mut self) {
        for hosts in self.subsets.values() {
            let mut out: Vec<_> = hosts
                .iter()
                .filter(|host| self.hosts[*host].is_out())
                .cloned()
                .collect();
            out.sort_by_key(|host| due_at(self.hosts[host].health));
            let above = out.len().saturating_sub(hosts.len() / HOSTS_PER_EJECTED);
            for host in &out[..above] {
                if let Some(track) = self.hosts.get_mut(host) {
                    track.readmit();
                }
            }
        }
    }

    /// Median of the other hosts' smoothed times.
    fn usual_ms(&self, service: &ServiceId, except: &HostId) -> Option<f64> {
        let others = self.subset(service).filter(|host| *host != except);
        self.median_ms(others.filter(|host| !self.hosts[*host].is_out()))
    }
}

const fn due_at(health: Health) -> Duration {
    match health {
        Health::Healthy => Duration::ZERO,
        Health::Ejected { until, .. } => until,
        Health::Probing { since, .. } => since,
    }
}

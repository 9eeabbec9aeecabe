//! Invariants of every run, for all faults.

use amaranthscale_core::{Ran, ResultCode};

use super::Simulation;

/// Hosts of a service per host that may be ejected.
const HOSTS_PER_EJECTED: usize = 3;

impl Simulation {
    /// A try is answered once, a refused one did not run, and a request that must not be repeated
    /// runs at most once.
    pub(super) fn check_answer(&self, request: usize, code: ResultCode) {
        let asked = &self.requests[request];
        assert!(asked.is_open, "request {request} was answered twice");
        let ran = asked
            .attempts
            .iter()
            .any(|&attempt| self.attempts[attempt].ran());
        assert!(
            !(ran && code.ran() == Ran::No),
            "request {request} ran, yet says {code}"
        );
        let is_repeatable = self.deployment.pipelines[asked.pipeline].is_repeatable;
        let runs = asked
            .attempts
            .iter()
            .filter(|&&attempt| self.attempts[attempt].ran());
        assert!(
            is_repeatable || runs.count() <= 1,
            "request {request} ran twice"
        );
    }

    /// No server runs more attempts than it has slots.
    pub(super) fn check_slots(&self, server: usize) {
        let queue = &self.servers[server].queue;
        assert!(
            queue.running() <= queue.slots(),
            "server {server} runs too much"
        );
    }

    /// No entry ejects more than a third of a service's hosts.
    pub(super) fn check_ejected(&self, entry: usize, server: usize) {
        let router = &self.entries[entry].router;
        let Some(service) = self.servers[server].service_id() else {
            return;
        };
        let most = router.subset(service).count() / HOSTS_PER_EJECTED;
        let ejected = router.ejected(service).count();
        assert!(
            ejected <= most,
            "{ejected} of {service} ejected, {most} allowed"
        );
    }

    /// At the end, every request has an answer.
    pub(super) fn check_all_answered(&self) {
        let open = self
            .requests
            .iter()
            .filter(|request| request.answer.is_none())
            .count();
        assert_eq!(open, 0, "requests without an answer");
    }
}

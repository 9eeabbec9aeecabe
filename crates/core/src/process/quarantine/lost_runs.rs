//! Runs that were lost at a server, until it is known whether the server crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{RequestFingerprint, ServerLife};

/// How long a lost run is remembered: a server that crashed leaves the list of servers within some
/// heartbeats.
const REMEMBERED: Duration = Duration::from_secs(12);
/// Most runs that are remembered of one server.
const MOST_OF_SERVER: usize = 1_000;

/// What a lost run asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossStep {
    /// The first one at its server: look whether the server still listens.
    Probe,
    /// That is being looked at.
    Wait,
    /// The server is known to have crashed: the run was lost with it.
    Report,
}

#[derive(Debug, Clone, Default)]
struct LostAt {
    requests: BTreeSet<RequestFingerprint>,
    last_at: Duration,
    has_crashed: bool,
}

/// Lost runs by server.
#[derive(Debug, Clone, Default)]
pub struct LostRuns {
    by_server: BTreeMap<ServerLife, LostAt>,
}

impl LostRuns {
    /// Notes a run that ended without its whole answer because the connection ended.
    pub fn lost(
        &mut self,
        server: &ServerLife,
        request: RequestFingerprint,
        now: Duration,
    ) -> LossStep {
        self.by_server
            .retain(|_, lost| now.saturating_sub(lost.last_at) < REMEMBERED);
        let is_first = !self.by_server.contains_key(server);
        let lost = self.by_server.entry(server.clone()).or_default();
        lost.last_at = now;
        if lost.has_crashed {
            return LossStep::Report;
        }
        if lost.requests.len() < MOST_OF_SERVER {
            lost.requests.insert(request);
        }
        if is_first {
            LossStep::Probe
        } else {
            LossStep::Wait
        }
    }

    /// Takes a server's crash for known; the requests whose runs were lost with it.
    pub fn crashed(&mut self, server: &ServerLife) -> BTreeSet<RequestFingerprint> {
        let Some(lost) = self.by_server.get_mut(server) else {
            return BTreeSet::new();
        };
        lost.has_crashed = true;
        std::mem::take(&mut lost.requests)
    }

    /// Servers that lost runs and that a function names no more, as the list of servers has changed.
    #[must_use]
    pub fn missing(&self, is_listed: impl Fn(&ServerLife) -> bool) -> Vec<ServerLife> {
        let open = self.by_server.iter();
        let open = open.filter(|(_, lost)| !lost.has_crashed);
        let missing = open.filter(|(server, _)| !is_listed(server));
        missing.map(|(server, _)| server.clone()).collect()
    }
}

//! Runs that were lost at a server, until it is known whether the server crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{RequestFingerprint, ServerIncarnation};

/// How long a lost run is remembered: a server that crashed leaves the list of servers within some
/// heartbeats.
const REMEMBERED: Duration = Duration::from_secs(12);
/// Most runs that are remembered of one server.
const MOST_OF_SERVER: usize = 1_000;

/// What a lost run asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossAction {
    /// Look whether the server still listens.
    Probe,
    /// That is being looked at.
    Wait,
    /// The server is known to have crashed: the run was lost with it.
    Report,
}

#[derive(Debug, Clone, Default)]
struct LostAt {
    /// Lost since the server was last found listening.
    requests: BTreeSet<RequestFingerprint>,
    /// Lost before; another life may have listened by then.
    unsettled: BTreeSet<RequestFingerprint>,
    last_at: Duration,
    is_probed: bool,
    has_crashed: bool,
}

/// Lost runs by server.
#[derive(Debug, Clone, Default)]
pub struct LostRuns {
    by_server: BTreeMap<ServerIncarnation, LostAt>,
}

impl LostRuns {
    /// Notes a run that ended without its whole answer because the connection ended.
    pub fn record_loss(
        &mut self,
        server: &ServerIncarnation,
        request: RequestFingerprint,
        now: Duration,
    ) -> LossAction {
        self.by_server
            .retain(|_, lost| now.saturating_sub(lost.last_at) < REMEMBERED);
        let lost = self.by_server.entry(server.clone()).or_default();
        lost.last_at = now;
        if lost.has_crashed {
            return LossAction::Report;
        }
        if lost.requests.len() < MOST_OF_SERVER {
            lost.requests.insert(request);
        }
        if std::mem::replace(&mut lost.is_probed, true) {
            LossAction::Wait
        } else {
            LossAction::Probe
        }
    }

    /// Takes note that a server could not be found crashed: the next run that it loses is looked at anew.
    ///
    /// Guards against a crash that nobody looks for, as the server had lost another run and lived on.
    pub fn mark_not_crashed(&mut self, server: &ServerIncarnation) {
        if let Some(lost) = self.by_server.get_mut(server) {
            lost.is_probed = false;
            if lost.unsettled.len() < MOST_OF_SERVER {
                lost.unsettled.append(&mut lost.requests);
            }
        }
    }

    /// Takes a server's crash for known; the requests whose runs were lost with it.
    pub fn mark_crashed(&mut self, server: &ServerIncarnation) -> BTreeSet<RequestFingerprint> {
        let Some(lost) = self.by_server.get_mut(server) else {
            return BTreeSet::new();
        };
        lost.has_crashed = true;
        lost.unsettled.clear();
        std::mem::take(&mut lost.requests)
    }

    /// Takes a server for crashed that is listed no more; all requests whose runs it lost lately.
    pub fn mark_gone(&mut self, server: &ServerIncarnation) -> BTreeSet<RequestFingerprint> {
        let unsettled = self.by_server.get_mut(server);
        let mut requests =
            unsettled.map_or_else(BTreeSet::new, |lost| std::mem::take(&mut lost.unsettled));
        requests.append(&mut self.mark_crashed(server));
        requests
    }

    /// Servers that lost runs and that a function names no more, as the list of servers has changed.
    #[must_use]
    pub fn unlisted(
        &self,
        is_listed: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<ServerIncarnation> {
        let open = self.by_server.iter();
        let open = open.filter(|(_, lost)| !lost.has_crashed);
        let missing = open.filter(|(server, _)| !is_listed(server));
        missing.map(|(server, _)| server.clone()).collect()
    }
}

//! What servers have stated about themselves, in answers to this entry or in a list that is replaced.
//!
//! A notice belongs to an incarnation of a server and outlasts its listing: a listing that expired
//! in an outage of the store may return, and still name the server as ready.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServerIncarnation;

/// Time for which a notice of a server that is not listed is retained.
const UNLISTED_LIFETIME: Duration = Duration::from_mins(10);

/// Notices of servers by incarnation.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerNotices {
    /// Servers that stated that they leave, and when this or the end of their listing was noticed.
    leaving: BTreeMap<ServerIncarnation, Duration>,
    /// Servers that requested a backoff, and when it ends.
    backoff_until: BTreeMap<ServerIncarnation, Duration>,
}

impl ServerNotices {
    /// Records that a server leaves; returns whether this is new.
    pub(super) fn record_leaving(&mut self, server: &ServerIncarnation, now: Duration) -> bool {
        if self.is_leaving(server) {
            return false;
        }
        self.leaving.insert(server.clone(), now);
        true
    }

    /// Records a requested backoff; returns whether it ends later than those before.
    pub(super) fn record_backoff(&mut self, server: &ServerIncarnation, until: Duration) -> bool {
        let known = self.backoff_until.entry(server.clone()).or_default();
        let is_later = until > *known;
        *known = until.max(*known);
        is_later
    }

    /// Records that a server's listing has ended, from when on its notices are retained for a while.
    pub(super) fn record_unlisted(&mut self, server: &ServerIncarnation, now: Duration) {
        if let Some(noticed_at) = self.leaving.get_mut(server) {
            *noticed_at = now;
        }
    }

    /// Whether a server has stated that it leaves.
    pub(super) fn is_leaving(&self, server: &ServerIncarnation) -> bool {
        self.leaving.contains_key(server)
    }

    /// When a server's backoff ends, unless it has ended.
    pub(super) fn backoff_until(
        &self,
        server: &ServerIncarnation,
        now: Duration,
    ) -> Option<Duration> {
        let until = self.backoff_until.get(server).copied();
        until.filter(|until| *until > now)
    }

    /// Drops ended backoffs, and old notices of servers that are not listed.
    pub(super) fn prune(&mut self, is_listed: impl Fn(&ServerIncarnation) -> bool, now: Duration) {
        self.backoff_until.retain(|_, until| *until > now);
        self.leaving.retain(|server, noticed_at| {
            is_listed(server) || now.saturating_sub(*noticed_at) < UNLISTED_LIFETIME
        });
    }
}

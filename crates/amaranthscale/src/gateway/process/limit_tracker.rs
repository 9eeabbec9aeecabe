//! Heeds the limits that servers name, and tells the other gateways of them through the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ReportedLimits, ServerLimit};
use hyper::http::response;
use log::info;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::super::version::ClusterView;
use super::super::{Clock, Dialect};
use crate::process::Counters;

/// The limits that servers have named, and what of them is still to be told.
#[derive(Debug)]
pub struct LimitTracker {
    clock: Clock,
    cluster_view: Arc<ClusterView>,
    counters: Arc<Counters>,
    words: Mutex<ReportedLimits>,
    to_tell: Notify,
}

impl LimitTracker {
    /// A watch that has heard of no limit.
    #[must_use]
    pub fn new(clock: Clock, cluster_view: Arc<ClusterView>, counters: Arc<Counters>) -> Self {
        Self {
            clock,
            cluster_view,
            counters,
            words: Mutex::default(),
            to_tell: Notify::new(),
        }
    }

    /// Takes what the head of an answer says to a request that left for a server at a time.
    ///
    /// Only an answer to what ran ends a limit by not naming it: a rejection may come from what stands
    /// before the server. What another server at its address says is not its word.
    pub(crate) fn heard(
        &self,
        dialect: &Dialect,
        server: &ServerIncarnation,
        head: &response::Parts,
        sent_at: Instant,
    ) {
        if (dialect.is_other_server)(head.status) {
            return;
        }
        let has_run = !(dialect.did_not_run)(head.status, &head.headers);
        let limit = match (dialect.reported_limit)(&head.headers).transpose() {
            Ok(limit) => limit,
            Err(error) => {
                self.counters.count("limits.invalid");
                info!(server:% = server, reason:% = error; "servers: limit cannot be read");
                return;
            }
        };
        let mut words = self.words();
        if limit.is_none() && (!has_run || words.is_empty()) {
            return;
        }
        let now = self.clock.now();
        let sent_at = now.saturating_sub(sent_at.elapsed());
        if words.record_answer(server, limit, sent_at, now) {
            drop(words);
            self.changed(server, limit, "answer");
            self.to_tell.notify_one();
        }
    }

    /// Takes what another gateway told of a server; none where its word was removed.
    pub(crate) fn take(&self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        if self
            .words()
            .apply_published(server, limit, self.clock.now())
        {
            self.changed(server, limit, "store");
        }
        // What this gateway knows better is told again.
        self.to_tell.notify_one();
    }

    /// Takes which servers' words a whole table holds.
    pub(crate) fn keep_only(&self, named: &[ServerIncarnation]) {
        let ended = self.words().retain_published(named);
        for server in ended {
            self.changed(&server, None, "store");
        }
        self.to_tell.notify_one();
    }

    /// Waits until there may be something to tell.
    pub(super) async fn to_tell(&self) {
        self.to_tell.notified().await;
    }

    /// Has a word told later that could not be told now.
    pub(super) fn tell_again(&self) {
        self.to_tell.notify_one();
    }

    /// Words that this gateway heard and the store does not say.
    pub(super) fn untold(&self) -> Vec<(ServerIncarnation, Option<ServerLimit>)> {
        self.words().unpublished()
    }

    /// Notes that the store has taken a word.
    pub(super) fn stored(&self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        self.words().mark_published(server, limit);
    }

    /// Forgets servers that are gone; names those of which the store still says something.
    pub(super) fn forget_gone(&self) -> Vec<ServerIncarnation> {
        let servers = self.cluster_view.servers();
        self.words()
            .remove_unlisted(|server| servers.is_listed(server))
    }

    /// Servers with a limit, for operators.
    pub(crate) fn limits(&self) -> Vec<(ServerIncarnation, ServerLimit)> {
        self.words().limits()
    }

    fn changed(&self, server: &ServerIncarnation, limit: Option<ServerLimit>, by: &'static str) {
        self.cluster_view
            .change_servers(|servers, _now| servers.set_limit(server, limit));
        if let Some(limit) = limit {
            self.counters.count_reason("limits.named", by);
            info!(server:% = server, per_s:% = limit, by; "servers: limit named");
        } else {
            self.counters.count_reason("limits.ended", by);
            info!(server:% = server, by; "servers: limit ended");
        }
    }

    fn words(&self) -> MutexGuard<'_, ReportedLimits> {
        self.words.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

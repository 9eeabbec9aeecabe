//! Applies the rate limits that servers report, and publishes them to other gateways through the
//! store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ReportedLimits, ServerLimit, ServerStatement};
use log::info;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::super::Clock;
use super::super::version::ClusterView;
use crate::process::Counters;

/// The rate limits that servers have reported, and which of them are not published yet.
#[derive(Debug)]
pub struct LimitTracker {
    clock: Clock,
    cluster_view: Arc<ClusterView>,
    counters: Arc<Counters>,
    reported: Mutex<ReportedLimits>,
    publish_requested: Notify,
}

impl LimitTracker {
    /// Creates a tracker without limits.
    #[must_use]
    pub fn new(clock: Clock, cluster_view: Arc<ClusterView>, counters: Arc<Counters>) -> Self {
        Self {
            clock,
            cluster_view,
            counters,
            reported: Mutex::default(),
            publish_requested: Notify::new(),
        }
    }

    /// Records the limit that a server states with its answer to a request sent at `sent_at`.
    ///
    /// An answer without a limit ends the limit only if the request ran, as a rejection may come
    /// from a proxy in front of the server.
    pub(crate) fn record_answer(
        &self,
        server: &ServerIncarnation,
        statement: ServerStatement,
        has_run: bool,
        sent_at: Instant,
    ) {
        let limit = match statement.limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                self.counters.count("limits.invalid");
                info!(server:% = server, reason:% = error; "servers: invalid limit reported");
                return;
            }
        };
        let mut reported = self.reported();
        if limit.is_none() && (!has_run || reported.is_empty()) {
            return;
        }
        let now = self.clock.now();
        let sent_at = now.saturating_sub(sent_at.elapsed());
        if reported.record_answer(server, limit, sent_at, now) {
            drop(reported);
            self.apply_change(server, limit, "answer");
            self.publish_requested.notify_one();
        }
    }

    /// Applies a limit that another gateway published; `None` where it was removed.
    pub(crate) fn apply_published(&self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        if self
            .reported()
            .apply_published(server, limit, self.clock.now())
        {
            self.apply_change(server, limit, "store");
        }
        // A newer report of this gateway is published again.
        self.publish_requested.notify_one();
    }

    /// Drops published limits that a full read of the table does not contain.
    pub(crate) fn retain_published(&self, named: &[ServerIncarnation]) {
        let ended = self.reported().retain_published(named);
        for server in ended {
            self.apply_change(&server, None, "store");
        }
        self.publish_requested.notify_one();
    }

    /// Waits until there may be something to publish.
    pub(super) async fn publish_requested(&self) {
        self.publish_requested.notified().await;
    }

    /// Requests another round of publication after a failed write.
    pub(super) fn request_publish(&self) {
        self.publish_requested.notify_one();
    }

    /// Reports received by this gateway that differ from the store.
    pub(super) fn unpublished(&self) -> Vec<(ServerIncarnation, Option<ServerLimit>)> {
        self.reported().unpublished()
    }

    /// Records that the store has accepted a report.
    pub(super) fn mark_published(&self, server: &ServerIncarnation, limit: Option<ServerLimit>) {
        self.reported().mark_published(server, limit);
    }

    /// Drops servers that are no longer listed; returns those that still have a row in the store.
    pub(super) fn remove_unlisted(&self) -> Vec<ServerIncarnation> {
        let servers = self.cluster_view.servers();
        let removed = self
            .reported()
            .remove_unlisted(|server| servers.is_listed(server));
        for (server, _) in &removed {
            self.cluster_view
                .change_servers(|servers, _now| servers.set_limit(server, None));
        }
        let with_row = removed.into_iter().filter(|(_, has_row)| *has_row);
        with_row.map(|(server, _)| server).collect()
    }

    /// Servers with a limit, for operators.
    pub(crate) fn limits(&self) -> Vec<(ServerIncarnation, ServerLimit)> {
        self.reported().limits()
    }

    fn apply_change(
        &self,
        server: &ServerIncarnation,
        limit: Option<ServerLimit>,
        by: &'static str,
    ) {
        self.cluster_view
            .change_servers(|servers, _now| servers.set_limit(server, limit));
        if let Some(limit) = limit {
            self.counters.count_reason("limits.named", by);
            info!(server:% = server, per_s:% = limit, by; "servers: limit reported");
        } else {
            self.counters.count_reason("limits.ended", by);
            info!(server:% = server, by; "servers: limit ended");
        }
    }

    fn reported(&self) -> MutexGuard<'_, ReportedLimits> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Records what servers state about themselves in the heads of their answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ServerBackoff, ServerSelector, ServerStatement};
use hyper::http::response;
use log::info;

use super::super::version::ClusterView;
use super::super::{Clock, Dialect};
use crate::process::Counters;

/// Time per gateway over which gateways return to a server after its backoff.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(2);

/// Records the statements of all answers, on whatever path they arrive.
#[derive(Debug)]
pub struct StatementRecorder {
    clock: Clock,
    dialect: Arc<Dialect>,
    cluster_view: Arc<ClusterView>,
    counters: Arc<Counters>,
    server_selector: Arc<Mutex<ServerSelector>>,
}

impl StatementRecorder {
    /// Creates a recorder.
    #[must_use]
    pub const fn new(
        clock: Clock,
        dialect: Arc<Dialect>,
        cluster_view: Arc<ClusterView>,
        counters: Arc<Counters>,
        server_selector: Arc<Mutex<ServerSelector>>,
    ) -> Self {
        Self {
            clock,
            dialect,
            cluster_view,
            counters,
            server_selector,
        }
    }

    /// Records what the head of a server's answer states, and returns it.
    ///
    /// Answers of another server at its address are ignored.
    pub(crate) fn record(
        &self,
        server: &ServerIncarnation,
        head: &response::Parts,
    ) -> ServerStatement {
        if (self.dialect.is_other_server)(head.status) {
            return ServerStatement::default();
        }
        let statement = (self.dialect.server_statement)(head.status, &head.headers);
        if statement.is_leaving {
            self.record_leaving(server);
        }
        if statement.has_invalid_load {
            self.counters.count("servers.invalid-load");
            info!(server:% = server; "servers: invalid load reported");
        }
        match &statement.backoff {
            Some(Ok(backoff)) => self.record_backoff(server, *backoff),
            Some(Err(error)) => {
                self.counters.count("servers.invalid-backoff");
                info!(server:% = server, reason:% = error; "servers: invalid backoff requested");
            }
            None => {}
        }
        statement
    }

    fn record_leaving(&self, server: &ServerIncarnation) {
        // Each answer of a leaving server states it; only the first one changes the list.
        if self.cluster_view.servers().has_stated_leaving(server) {
            return;
        }
        let is_new = self
            .cluster_view
            .change_servers(|servers, now| servers.record_leaving(server, now));
        if is_new {
            self.counters.count("servers.leaving-stated");
            info!(server:% = server; "servers: leaving stated");
        }
    }

    fn record_backoff(&self, server: &ServerIncarnation, backoff: ServerBackoff) {
        // All gateways that a server has turned away would otherwise return in the same moment.
        let gateways = u32::try_from(self.cluster_view.live_count()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_GATEWAY.saturating_mul(gateways);
        let delay = backoff.time() + spread.mul_f64(rand::random_range(0.0..1.0));
        let until = self.clock.now() + delay;
        self.counters.count("servers.backoff-requested");
        let is_later = self
            .cluster_view
            .change_servers(|servers, now| servers.record_backoff(server, until, now));
        if is_later {
            self.server_selector
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .record_backoff(server, until);
            info!(server:% = server, backoff_s:% = backoff; "servers: backoff requested");
            // At its end the batch owners learn which limits apply to the server.
            let cluster_view = Arc::clone(&self.cluster_view);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                cluster_view.change_servers(|_servers, _now| true);
            });
        }
    }
}

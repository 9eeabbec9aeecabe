//! State shared by all requests of a gateway.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthscale_core::id::{InstanceId, ServiceId, ZoneId};
use amaranthscale_core::process::{CallerIntake, ConnectionShare, ServerSelector, SpeedCollector};

use super::super::connection::ConnectionPool;
use super::super::version::{AnnouncementWriter, ClusterView, TableRelay};
use super::super::{Dialect, FeatureSet};
use super::{
    BatchOwners, BufferMemory, CrashTracker, EngineOverviews, FirstEventEstimators, LimitTracker,
    MovingRuns, OriginTracker, PromptSources, RetryBudgets, RunBackups, SendShares, ShutdownGate,
    StageTimes, VersionTracker,
};
use crate::connection::PeerClient;
use crate::process::{Counters, Latencies};

/// State shared by all requests.
#[derive(Debug)]
pub struct GatewayContext {
    /// Id of this incarnation of the gateway.
    pub instance: InstanceId,
    /// Availability zone of the gateway.
    pub zone: ZoneId,
    /// Routing, servers and gateways.
    pub cluster_view: Arc<ClusterView>,
    /// Idle connections to servers.
    pub pool: Arc<ConnectionPool>,
    /// The enabled features.
    pub features: FeatureSet,
    /// Headers and formats of callers and servers.
    pub dialect: Arc<Dialect>,
    /// Retry budgets by service.
    pub retry_budgets: RetryBudgets,
    /// Estimates of the engines' time to the first event.
    pub first_event_estimators: FirstEventEstimators,
    /// Times of the stages before the engines.
    pub stage_times: StageTimes,
    /// Engines that have recently prefilled shared prompt parts.
    pub prompt_sources: PromptSources,
    /// Recent ends of streams, by which runs are backed up.
    pub run_backups: RunBackups,
    /// This gateway's shares of sends to cold and rate-limited servers.
    pub send_shares: SendShares,
    /// Rate limits that servers report.
    pub limits: Arc<LimitTracker>,
    /// Software versions in use.
    pub versions: Arc<VersionTracker>,
    /// Where streams began.
    pub origins: OriginTracker,
    /// The batch owners in this process.
    pub batch_owners: Arc<BatchOwners>,
    /// Connections to other gateways.
    pub peers: Arc<PeerClient>,
    /// Copies of the store's tables, relayed to other gateways.
    pub table_relay: Arc<TableRelay>,
    /// Writes announcements of this gateway and of those that start beside it.
    pub announcements: AnnouncementWriter,
    /// Counts of answers, refusals and retries.
    pub counters: Arc<Counters>,
    /// Latencies by part of a request and by stage service.
    pub latencies: Arc<Latencies>,
    /// Decides which new connections of callers are served.
    pub caller_intake: Mutex<CallerIntake>,
    /// Memory for callers' requests.
    pub request_memory: BufferMemory,
    /// Memory for servers' answers until their callers have read them.
    pub answer_memory: BufferMemory,
    /// Number of callers' connections that were ended because nothing of the answer was read.
    pub stalled_callers: Arc<AtomicU64>,
    /// Open requests and the state of a shutdown.
    pub shutdown: Arc<ShutdownGate>,
    /// Maximum age of the routing at which a key is accepted.
    pub max_key_age: std::time::Duration,
    /// Maximum age of the routing at which the gateway is ready.
    pub max_ready_age: std::time::Duration,
    /// Time after which a routing that is known to be replaced is no longer used.
    pub max_routing_lag: std::time::Duration,
    /// Crashed servers and the requests suspected of crashing them.
    pub crashes: Arc<CrashTracker>,
    /// Selects servers by the load and health that earlier sends showed.
    pub server_selector: Arc<Mutex<ServerSelector>>,
    /// What engines report and what is estimated of them, by which runs are moved.
    pub engine_overviews: EngineOverviews,
    /// Moves of runs that take place now.
    pub moving_runs: Arc<MovingRuns>,
    /// Combines the samples of engines' speed while this gateway is the collector.
    pub speed_collector: Mutex<SpeedCollector>,
}

impl GatewayContext {
    /// Takes one retry from the service's budget, which all gateways share, and counts the result.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.cluster_view.clock().now();
        let is_granted =
            self.retry_budgets
                .try_retry(service, self.cluster_view.announced_count(), now);
        let name = if is_granted {
            "repeat.sent"
        } else {
            "repeat.over-budget"
        };
        self.counters.count(name);
        is_granted
    }

    /// Counts a retry of a run that would be lost without it.
    pub fn record_retry(&self, service: &ServiceId) {
        let now = self.cluster_view.clock().now();
        self.retry_budgets.record_retry(service, now);
        self.counters.count("repeat.sent");
    }

    /// This gateway's share of the connections that a service's servers accept.
    pub fn connection_share(&self, service: &ServiceId) -> ConnectionShare {
        let routing = self.cluster_view.routing();
        let pool = routing.as_ref().and_then(|routing| routing.pool(service));
        pool.map_or(ConnectionShare::UNLIMITED, |pool| {
            let servers = self.cluster_view.servers();
            let servers = servers.usable(service).count();
            ConnectionShare::of(
                pool.max_connections,
                servers,
                self.cluster_view.announced_count(),
            )
        })
    }

    /// The decision on callers' new connections; the lock is held for single decisions only.
    pub fn caller_intake(&self) -> MutexGuard<'_, CallerIntake> {
        self.caller_intake
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The collector of engines' speed; the lock is held for single messages only.
    pub fn speed_collector(&self) -> MutexGuard<'_, SpeedCollector> {
        self.speed_collector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The server selector; the lock is held for single decisions only.
    pub fn server_selector(&self) -> MutexGuard<'_, ServerSelector> {
        self.server_selector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

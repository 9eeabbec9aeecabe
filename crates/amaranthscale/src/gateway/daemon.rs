//! Starts and stops a gateway.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{Cell, ServerSelector, SpeedCollector};
use log::info;
use quick_error::quick_error;
use tokio::task::JoinHandle;

use super::connection::ConnectionPool;
use super::listen::{InternalServers, bind, listen_callers, listen_internal};
use super::process::{
    BatchOwnerArguments, BatchOwners, BufferMemory, CrashTracker, EngineOverviews,
    FirstEventEstimators, GatewayContext, LimitTracker, OriginTracker, PromptSources, RetryBudgets,
    RunBackups, SendShares, ShutdownGate, StageTimes, StatementRecorder, VersionTracker,
    exchange_speeds, monitor_loop_delay, monitor_unresponsive, publish_crashes, publish_limits,
    publish_versions, remove_expired_evidence, remove_expired_origins, remove_stale_drains,
    remove_stale_limits, save_origins, send_origins, withdraw_versions,
};
use super::version::{
    AnnouncementWriter, Announcer, ClusterView, KEY_AGE_PERCENT, OwnInstance, PollTiming,
    READY_AGE_PERCENT, RelayContext, follow_instances, follow_routing, follow_servers,
    withdraw_instance,
};
use super::{Feature, GatewayConfig};
use crate::connection::{HttpServer, PeerClient, PeerClientLimits};
use crate::process::Counters;

/// Time in which the platform's readiness checks take a stopping gateway out of rotation: two
/// failed checks and a margin.
const ROTATION_DELAY: Duration = Duration::from_millis(2_300);
/// Time reserved at the end of the stop bound for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of a stop at which requests that were not sent to a server are refused.
const UNSENT_ABORT_LEAD: Duration = Duration::from_millis(700);
/// Limits of connections to other gateways; short, as a request waits for them before it tries the
/// next batch owner.
const PEER_LIMITS: PeerClientLimits = PeerClientLimits {
    connect_timeout: Duration::from_millis(400),
    dead_peer_timeout: Duration::from_secs(1),
};
/// Percentage of `apply_bound` for which a routing that is known to be replaced is still used; the
/// rest allows for the time until the gateway learns of the newer one.
const MAX_ROUTING_LAG_PERCENT: u32 = 80;
/// Fraction of the process's memory for callers' requests, and the same for answers that callers
/// have not read; the rest is for connections, tables and batches.
const BUFFER_MEMORY_FRACTION: usize = 4;
/// Interval at which state of removed servers is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

quick_error! {
    /// Error when a gateway cannot start.
    #[derive(Debug)]
    pub enum GatewayError {
        /// The gateway cannot listen at an address.
        Listen(purpose: &'static str, address: std::net::SocketAddr, cause: io::Error) {
            display("cannot listen for {purpose} at {address}: {cause}")
            source(cause)
        }
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    context: Arc<GatewayContext>,
    config: GatewayConfig,
    callers: HttpServer,
    internal: InternalServers,
    follow_tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway; it is ready once it has read the routing.
    pub async fn start(mut config: GatewayConfig) -> Result<Self, GatewayError> {
        // Bound first, as the announcement contains the port that the system assigned.
        let peers = bind("other gateways", config.announcement.address).await?;
        config.announcement.address = peers.local_addr().map_err(|cause| {
            GatewayError::Listen("other gateways", config.caller_address, cause)
        })?;
        let cluster_view = Arc::new(ClusterView::new(
            config.clock,
            config.instance.clone(),
            config.announcement.clone(),
        ));
        let context = Arc::new(build_context(&config, &cluster_view));
        let own = OwnInstance {
            instance: config.instance.clone(),
            announcement: config.announcement.clone(),
            shutdown: Arc::clone(&context.shutdown),
            crashes: Arc::clone(&context.crashes),
            limits: Arc::clone(&context.limits),
            versions: Arc::clone(&context.versions),
            is_announced: Arc::default(),
            is_first_start: config.is_first_start,
        };
        let announcer = announcer(&context);
        let follow_tasks = follow(&config, &announcer, &context, own.clone());
        let callers = listen_callers(&config, &context).await?;
        let internal = listen_internal(&config, &context, peers).await?;
        tokio::spawn(propagate_changes(Arc::clone(&context)));
        tokio::spawn(sweep(Arc::clone(&context)));
        tokio::spawn(exchange_speeds(Arc::clone(&context)));
        if config.features.is_enabled(Feature::CallerIntake) {
            tokio::spawn(monitor_loop_delay(Arc::clone(&context)));
        }
        tokio::spawn(monitor_unresponsive(
            Arc::clone(&context),
            announcer.clone(),
        ));
        tokio::spawn(publish_crashes(Arc::clone(&context), config.store.clone()));
        tokio::spawn(remove_expired_evidence(
            Arc::clone(&context),
            config.store.clone(),
        ));
        tokio::spawn(publish_limits(Arc::clone(&context), config.store.clone()));
        tokio::spawn(remove_stale_limits(
            Arc::clone(&context),
            config.store.clone(),
        ));
        tokio::spawn(publish_versions(Arc::clone(&context), config.store.clone()));
        tokio::spawn(withdraw_versions(
            Arc::clone(&context),
            config.store.clone(),
        ));
        tokio::spawn(send_origins(Arc::clone(&context)));
        tokio::spawn(save_origins(Arc::clone(&context), config.store.clone()));
        tokio::spawn(remove_expired_origins(
            Arc::clone(&context),
            config.store.clone(),
        ));
        tokio::spawn(remove_stale_drains(
            Arc::clone(&context),
            config.store.clone(),
        ));
        tokio::spawn(announcer.announce(own.clone()));
        info!(instance = config.instance.as_str(), zone = config.zone.as_str(); "gateway: started");
        Ok(Self {
            context,
            config,
            callers,
            internal,
            follow_tasks,
        })
    }

    /// Address for callers.
    #[must_use]
    pub const fn address(&self) -> std::net::SocketAddr {
        self.callers.address()
    }

    /// Address for readiness checks.
    #[must_use]
    pub const fn ready_address(&self) -> std::net::SocketAddr {
        self.internal.ready.address()
    }

    /// Address for other gateways.
    #[must_use]
    pub const fn peer_address(&self) -> std::net::SocketAddr {
        self.internal.peers.address()
    }

    /// Address for metrics.
    #[must_use]
    pub fn metrics_address(&self) -> Option<std::net::SocketAddr> {
        self.internal.metrics.as_ref().map(HttpServer::address)
    }

    /// Counts of answers, refusals and retries.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.context.counters
    }

    /// Leaves the rotation, finishes the open requests and stops; returns whether all of them
    /// finished.
    ///
    /// New connections arrive until two readiness checks have failed. They are served until then,
    /// so that a planned stop interrupts no request.
    pub async fn stop(self) -> bool {
        let instance = self.config.instance.as_str();
        info!(instance, open = self.context.shutdown.open_requests(); "gateway: stopping");
        let ends_at = tokio::time::Instant::now() + self.config.stop_bound - STOP_MARGIN;
        self.context.shutdown.start();
        self.context.cluster_view.step_down();
        self.context.batch_owners.stop();
        let withdrawing = withdraw_instance(&self.config.store, &self.config.instance);
        let leaving = tokio::time::sleep(ROTATION_DELAY);
        tokio::join!(withdrawing, leaving);
        let left = ends_at.saturating_duration_since(tokio::time::Instant::now());
        let gate = Arc::clone(&self.context.shutdown);
        let unsent_abort = tokio::spawn(async move {
            tokio::time::sleep(left.saturating_sub(UNSENT_ABORT_LEAD)).await;
            gate.abort_unsent();
        });
        let is_drained = self.callers.stop(left).await;
        unsent_abort.abort();
        let left = ends_at.saturating_duration_since(tokio::time::Instant::now());
        let is_empty = tokio::time::timeout(left, self.context.shutdown.drained()).await;
        for task in &self.follow_tasks {
            task.abort();
        }
        info!(instance, open = self.context.shutdown.open_requests(); "gateway: stopped");
        is_drained && is_empty.is_ok()
    }
}

fn announcer(context: &GatewayContext) -> Announcer {
    Announcer {
        relay_context: RelayContext {
            cluster_view: Arc::clone(&context.cluster_view),
            peers: Arc::clone(&context.peers),
            table_relay: Arc::clone(&context.table_relay),
            counters: Arc::clone(&context.counters),
        },
        writer: context.announcements.clone(),
    }
}

fn follow(
    config: &GatewayConfig,
    announcer: &Announcer,
    context: &GatewayContext,
    own: OwnInstance,
) -> Vec<JoinHandle<()>> {
    let relay_context = &announcer.relay_context;
    vec![
        tokio::spawn(follow_routing(
            config.store.clone(),
            relay_context.clone(),
            Arc::clone(&context.latencies),
            config.zone_regions.clone(),
            PollTiming::routing(config.revoke_bound)
                .with_silence_bound(config.crash_bound)
                .with_relay_bound(config.apply_bound.min(config.evacuation_bound)),
        )),
        tokio::spawn(follow_servers(
            config.store.clone(),
            relay_context.clone(),
            PollTiming::servers(config.drain_bound),
        )),
        tokio::spawn(follow_instances(
            config.store.clone(),
            announcer.clone(),
            own,
            PollTiming::instances(config.crash_bound),
        )),
    ]
}

fn build_context(config: &GatewayConfig, cluster_view: &Arc<ClusterView>) -> GatewayContext {
    let counters = Arc::new(Counters::local("amaranth.gateway"));
    let dialect = Arc::new(config.dialect.clone());
    let server_selector = Arc::<Mutex<ServerSelector>>::default();
    let statements = StatementRecorder::new(
        config.clock,
        Arc::clone(&dialect),
        Arc::clone(cluster_view),
        Arc::clone(&counters),
        Arc::clone(&server_selector),
    );
    let pool = Arc::new(ConnectionPool::new(Arc::new(statements)));
    let limits = LimitTracker::new(
        config.clock,
        Arc::clone(cluster_view),
        Arc::clone(&counters),
    );
    let limits = Arc::new(limits);
    let arguments = BatchOwnerArguments {
        cell: Cell::SINGLE,
        cold_allowance: config.cold_allowance,
        limits: Arc::clone(&limits),
        cluster_view: Arc::clone(cluster_view),
        pool: Arc::clone(&pool),
        features: config.features.clone(),
        dialect: Arc::clone(&dialect),
        counters: Arc::clone(&counters),
        latencies: Arc::default(),
    };
    let latencies = Arc::clone(&arguments.latencies);
    let crashes = CrashTracker::new(
        config.instance.clone(),
        config.clock,
        Arc::clone(cluster_view),
        Arc::clone(&counters),
        config.store.clone(),
    );
    GatewayContext {
        crashes: Arc::new(crashes),
        instance: config.instance.clone(),
        zone: config.zone.clone(),
        cluster_view: Arc::clone(cluster_view),
        limits,
        pool,
        features: config.features.clone(),
        dialect,
        retry_budgets: RetryBudgets::new(config.retry_budget),
        first_event_estimators: FirstEventEstimators::default(),
        stage_times: StageTimes::default(),
        prompt_sources: PromptSources::default(),
        run_backups: RunBackups::default(),
        send_shares: SendShares::new(config.cold_allowance, config.clock.now()),
        versions: Arc::new(VersionTracker::new(
            config.clock,
            Arc::clone(cluster_view),
            config.store.clone(),
        )),
        origins: OriginTracker::new(config.instance.clone(), config.store.clone()),
        batch_owners: Arc::new(BatchOwners::new(arguments)),
        peers: Arc::new(PeerClient::new(PEER_LIMITS)),
        table_relay: Arc::default(),
        announcements: AnnouncementWriter::start(config.store.clone(), Arc::clone(&counters)),
        counters,
        latencies,
        request_memory: BufferMemory::new(config.memory_bytes / BUFFER_MEMORY_FRACTION),
        answer_memory: BufferMemory::new(config.memory_bytes / BUFFER_MEMORY_FRACTION),
        stalled_callers: Arc::default(),
        shutdown: Arc::new(ShutdownGate::default()),
        max_key_age: config.revoke_bound * KEY_AGE_PERCENT / 100,
        max_ready_age: config.revoke_bound * READY_AGE_PERCENT / 100,
        max_routing_lag: config.apply_bound * MAX_ROUTING_LAG_PERCENT / 100,
        server_selector,
        engine_overviews: EngineOverviews::default(),
        moving_runs: Arc::default(),
        caller_intake: Mutex::default(),
        speed_collector: Mutex::new(SpeedCollector::new(config.instance.clone())),
    }
}

/// Notifies the crash tracker and the batch owners of changes of routing or servers.
async fn propagate_changes(context: Arc<GatewayContext>) {
    let mut changes = context.cluster_view.changes();
    while changes.changed().await.is_ok() {
        context.crashes.check_unlisted_servers();
        context.batch_owners.notify_changed();
    }
}

/// Drops connections, load statistics and send counts of servers that are no longer usable, and
/// records how many gateways share the retry budgets.
async fn sweep(context: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let servers = context.cluster_view.servers();
        let is_known = |incarnation: &ServerIncarnation| servers.is_usable(incarnation);
        context.pool.retain(is_known);
        context.server_selector().retain(is_known);
        context.speed_collector().retain(is_known);
        context.send_shares.retain(is_known);
        let now = context.cluster_view.clock().now();
        let announced = context.cluster_view.announced_count();
        context.retry_budgets.record_gateways(announced, now);
    }
}

//! Starts and stops a gateway.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{Cell, ServerSelector};
use log::info;
use quick_error::quick_error;
use tokio::task::JoinHandle;

use super::GatewayConfig;
use super::connection::ConnectionPool;
use super::listen::{OtherServers, bind, listen_callers, listen_others};
use super::process::{
    BatchOwnerArguments, BatchOwners, BoundedServers, Budgets, CrashWatch, GatewayParts,
    LimitTracker, ServicePromptTimes, StopGate, forget_limits, remove_outdated, tell_crashes,
    tell_limits, tend_silent,
};
use super::version::{
    ClusterView, FeedPace, KEY_AGE_PERCENT, Neighbours, Own, READY_AGE_PERCENT, announce_instance,
    follow_instances, follow_routing, follow_servers, withdraw_instance,
};
use crate::connection::{HttpServer, PeerClient, PeerClientLimits};
use crate::process::Counters;

/// Time in which the platform's questions take a stopping gateway out: two misses and a margin.
const LEAVE_ROTATION: Duration = Duration::from_millis(2_300);
/// Time kept back from the bound on a stop, for the process to end by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of a stop at which requests that were sent nowhere are answered.
const HURRY: Duration = Duration::from_millis(700);
/// Bounds of connections to other gateways: a request waits for the next owner meanwhile.
const PEER_LIMITS: PeerClientLimits = PeerClientLimits {
    connect_timeout: Duration::from_millis(400),
    dead_peer_timeout: Duration::from_secs(1),
};
/// Part of the bound on configurations for which a routing that is known to be replaced is still decided by, in
/// hundredths: the rest is for the way of the word that there is a newer one.
const BEHIND_PERCENT: u32 = 80;
/// Time between two sweeps of kept connections.
const SWEEP: Duration = Duration::from_secs(2);

quick_error! {
    /// A gateway that could not start.
    #[derive(Debug)]
    pub enum GatewayError {
        /// An address cannot be listened at.
        Listen(what: &'static str, address: std::net::SocketAddr, cause: io::Error) {
            display("cannot listen for {what} at {address}: {cause}")
            source(cause)
        }
    }
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    parts: Arc<GatewayParts>,
    config: GatewayConfig,
    callers: HttpServer,
    others: OtherServers,
    following: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway; it is ready once it knows the routing.
    pub async fn start(mut config: GatewayConfig) -> Result<Self, GatewayError> {
        // Bound first: the announcement names the port that the system gave.
        let peers = bind("other gateways", config.announcement.address).await?;
        config.announcement.address = peers.local_addr().map_err(|cause| {
            GatewayError::Listen("other gateways", config.caller_address, cause)
        })?;
        let cluster_view = Arc::new(ClusterView::new(
            config.clock,
            config.instance.clone(),
            config.announcement.clone(),
        ));
        let parts = Arc::new(start_parts(&config, &cluster_view));
        let own = Own {
            instance: config.instance.clone(),
            announcement: config.announcement.clone(),
            stop: Arc::clone(&parts.stop),
            crashes: Arc::clone(&parts.crashes),
            limits: Arc::clone(&parts.limits),
            is_announced: Arc::default(),
        };
        let following = follow(&config, &parts, own.clone());
        let callers = listen_callers(&config, &parts).await?;
        let others = listen_others(&config, &parts, peers).await?;
        tokio::spawn(tell_changes(Arc::clone(&parts)));
        tokio::spawn(sweep(Arc::clone(&parts)));
        tokio::spawn(tend_silent(Arc::clone(&parts), config.store.clone()));
        tokio::spawn(tell_crashes(Arc::clone(&parts), config.store.clone()));
        tokio::spawn(remove_outdated(Arc::clone(&parts), config.store.clone()));
        tokio::spawn(tell_limits(Arc::clone(&parts), config.store.clone()));
        tokio::spawn(forget_limits(Arc::clone(&parts), config.store.clone()));
        tokio::spawn(announce_instance(config.store.clone(), own.clone()));
        info!(instance = config.instance.as_str(), zone = config.zone.as_str(); "gateway: started");
        Ok(Self {
            parts,
            config,
            callers,
            others,
            following,
        })
    }

    /// Address for callers.
    #[must_use]
    pub const fn address(&self) -> std::net::SocketAddr {
        self.callers.address()
    }

    /// Address at which the platform asks for readiness.
    #[must_use]
    pub const fn ready_address(&self) -> std::net::SocketAddr {
        self.others.ready.address()
    }

    /// Address for other gateways.
    #[must_use]
    pub const fn peer_address(&self) -> std::net::SocketAddr {
        self.others.peers.address()
    }

    /// Address at which metrics are read.
    #[must_use]
    pub fn metrics_address(&self) -> Option<std::net::SocketAddr> {
        self.others.metrics.as_ref().map(HttpServer::address)
    }

    /// Counts of answers, refusals and repeats.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.parts.counters
    }

    /// Leaves the rotation, ends what was taken and stops; says whether all of it ended.
    ///
    /// Guards against requests that are cut by a planned stop: new connections come until the
    /// platform has seen twice that the gateway is not ready, so they are served till then.
    pub async fn stop(self) -> bool {
        let instance = self.config.instance.as_str();
        info!(instance, open = self.parts.stop.open(); "gateway: stopping");
        let ends_at = tokio::time::Instant::now() + self.config.stop_bound - STOP_MARGIN;
        self.parts.stop.stop();
        self.parts.cluster_view.step_down();
        self.parts.batches.stop();
        let withdrawing = withdraw_instance(&self.config.store, &self.config.instance);
        let leaving = tokio::time::sleep(LEAVE_ROTATION);
        tokio::join!(withdrawing, leaving);
        let left = ends_at.saturating_duration_since(tokio::time::Instant::now());
        let gate = Arc::clone(&self.parts.stop);
        let hurrying = tokio::spawn(async move {
            tokio::time::sleep(left.saturating_sub(HURRY)).await;
            gate.hurry();
        });
        let is_drained = self.callers.stop(left).await;
        hurrying.abort();
        let left = ends_at.saturating_duration_since(tokio::time::Instant::now());
        let is_empty = tokio::time::timeout(left, self.parts.stop.emptied()).await;
        for following in &self.following {
            following.abort();
        }
        info!(instance, open = self.parts.stop.open(); "gateway: stopped");
        is_drained && is_empty.is_ok()
    }
}

fn follow(config: &GatewayConfig, parts: &GatewayParts, own: Own) -> Vec<JoinHandle<()>> {
    let neighbours = Neighbours {
        cluster_view: Arc::clone(&parts.cluster_view),
        peers: Arc::clone(&parts.peers),
        handed_on: Arc::clone(&parts.handed_on),
        counters: Arc::clone(&parts.counters),
    };
    vec![
        tokio::spawn(follow_routing(
            config.store.clone(),
            neighbours.clone(),
            Arc::clone(&parts.latencies),
            FeedPace::routing(config.revoke_bound)
                .heard_within(config.apply_bound.min(config.evacuation_bound)),
        )),
        tokio::spawn(follow_servers(
            config.store.clone(),
            neighbours.clone(),
            FeedPace::servers(config.drain_bound),
        )),
        tokio::spawn(follow_instances(
            config.store.clone(),
            neighbours,
            own,
            FeedPace::instances(config.crash_bound),
        )),
    ]
}

fn start_parts(config: &GatewayConfig, cluster_view: &Arc<ClusterView>) -> GatewayParts {
    let counters = Arc::new(Counters::local("amaranth.gateway"));
    let pool = Arc::new(ConnectionPool::default());
    let dialect = Arc::new(config.dialect.clone());
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
        dialect: Arc::clone(&dialect),
        counters: Arc::clone(&counters),
        latencies: Arc::default(),
    };
    let latencies = Arc::clone(&arguments.latencies);
    let crashes = CrashWatch::new(
        config.instance.clone(),
        config.clock,
        Arc::clone(cluster_view),
        Arc::clone(&counters),
        config.store.clone(),
    );
    GatewayParts {
        crashes: Arc::new(crashes),
        instance: config.instance.clone(),
        zone: config.zone.clone(),
        cluster_view: Arc::clone(cluster_view),
        limits,
        pool,
        dialect,
        budgets: Budgets::new(config.retry_budget),
        prompt_times: ServicePromptTimes::default(),
        bounded: BoundedServers::new(config.cold_allowance, config.clock.now()),
        batches: Arc::new(BatchOwners::new(arguments)),
        peers: Arc::new(PeerClient::new(PEER_LIMITS)),
        handed_on: Arc::default(),
        counters,
        latencies,
        stop: Arc::new(StopGate::default()),
        key_age: config.revoke_bound * KEY_AGE_PERCENT / 100,
        ready_age: config.revoke_bound * READY_AGE_PERCENT / 100,
        behind_after: config.apply_bound * BEHIND_PERCENT / 100,
        choice: Mutex::new(ServerSelector::default()),
    }
}

/// Tells of each change those who work by what is known.
async fn tell_changes(parts: Arc<GatewayParts>) {
    let mut changes = parts.cluster_view.changes();
    while changes.changed().await.is_ok() {
        parts.crashes.servers_changed();
        parts.batches.tell_changed();
    }
}

/// Forgets what belongs to servers that are gone.
async fn sweep(parts: Arc<GatewayParts>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let servers = parts.cluster_view.servers();
        let is_known = |life: &ServerIncarnation| servers.is_usable(life);
        parts.pool.retain(is_known);
        parts.choice().retain(is_known);
        parts.bounded.retain(is_known);
    }
}

//! Starts and stops an entry.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::wire::HostList;
use hyper::body::Incoming;
use hyper::{Request, Response};
use log::{info, warn};
use ractor::{Actor, ActorRef};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::{CallerHttp, CallerLimits, OperatorHttp, PeerHttp};
use super::process::{
    Decision, Decisions, DecisionsArguments, DecisionsHandle, EntryParts, watch_hosts, watch_zones,
};
use super::request::DeadlineLimits;
use super::{EntryConfig, StartError};
use crate::connection::{HttpServer, HttpServerLimits, PeerClient, PeerClientLimits, ResponseBody};
use crate::process::{ControlKind, ControlTraffic, Counters, PlatformClient, PlatformClientLimits};
use crate::version::{
    PlannerArguments, PlannerHandle, TreeSyncArguments, TreeSyncHandle, WriteGate,
};

/// Longest wait for peers' open questions when the entry stops; they ask others.
const PEER_STOP_BOUND: Duration = Duration::from_millis(100);

/// An answer on its way.
type Answering = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    callers: HttpServer,
    peers: HttpServer,
    tree: TreeSyncHandle,
    planner: PlannerHandle,
    decisions: ActorRef<Decision>,
    host_watch: JoinHandle<()>,
    zone_watch: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry; it answers at once, and is ready when it has a settings tree.
    pub async fn start(config: EntryConfig) -> Result<Self, StartError> {
        let counters = Arc::new(match config.statsd {
            Some(address) => Counters::with_statsd("amaranth.entry", address)?,
            None => Counters::local("amaranth.entry"),
        });
        let links = Links::new(&config, &counters);
        let (peer_addresses, addresses) = watch::channel(Vec::new());
        let (known_hosts, hosts) = watch::channel(None);
        let tree = start_tree(&config, &links, &counters, addresses).await?;
        let decisions = start_decisions(&config).await?;
        let planner = start_planner(&config, &links, &counters, &tree, hosts).await?;
        let parts = EntryParts {
            decisions: DecisionsHandle::new(decisions.clone()),
            peers: Arc::clone(&links.peers),
            platform: links.platform.with_kind(ControlKind::Claim),
            counters,
            tree: tree.in_force(),
            planner: planner.clone(),
        };
        let (callers, peers) = serve(&config, &parts, &tree).await?;
        let zone_watch = tokio::spawn(watch_zones(tree.in_force(), parts.decisions.clone()));
        let watching = watch_hosts(
            links.platform.with_kind(ControlKind::HostList),
            parts.decisions,
            config.host,
            config.host_poll_interval,
            links.peers,
            peer_addresses,
            known_hosts,
        );
        let host_watch = tokio::spawn(watching);
        info!(
            "entry: listens at {} and {}",
            callers.address(),
            peers.address()
        );
        Ok(Self {
            callers,
            peers,
            tree,
            planner,
            decisions,
            host_watch,
            zone_watch,
        })
    }

    /// Address for callers and operators.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for other processes.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// The settings tree of this entry.
    #[must_use]
    pub const fn tree(&self) -> &TreeSyncHandle {
        &self.tree
    }

    /// The planner of this entry.
    #[must_use]
    pub const fn planner(&self) -> &PlannerHandle {
        &self.planner
    }

    /// Takes nothing new, lets open requests end, and says whether all did within the bound.
    pub async fn stop(self, bound: Duration) -> bool {
        info!("entry: stops, open requests end first");
        let is_drained = self.callers.stop(bound).await;
        if !is_drained {
            warn!("entry: stopped with requests still open");
        }
        self.host_watch.abort();
        self.zone_watch.abort();
        self.planner.stop();
        self.tree.stop();
        self.decisions.stop(None);
        self.peers.stop(PEER_STOP_BOUND).await;
        is_drained
    }
}

/// Connections of an entry, counted by kind of control.
struct Links {
    platform: PlatformClient,
    peers: Arc<PeerClient>,
}

impl Links {
    fn new(config: &EntryConfig, counters: &Arc<Counters>) -> Self {
        let traffic = ControlTraffic::new(Arc::clone(counters));
        let limits = PeerClientLimits {
            dead_peer_timeout: config.silence,
            ..PeerClientLimits::default()
        };
        Self {
            platform: PlatformClient::new(config.platform, PlatformClientLimits::default())
                .with_traffic(traffic.clone()),
            peers: Arc::new(PeerClient::new(limits).with_traffic(traffic)),
        }
    }
}

async fn start_tree(
    config: &EntryConfig,
    links: &Links,
    counters: &Arc<Counters>,
    peer_addresses: watch::Receiver<Vec<SocketAddr>>,
) -> Result<TreeSyncHandle, StartError> {
    let arguments = TreeSyncArguments {
        host: config.host.clone(),
        settings: config.tree,
        platform: links.platform.with_kind(ControlKind::TreePoll),
        peers: Arc::clone(&links.peers),
        peer_addresses,
        counters: Arc::clone(counters),
        seed: config.seed,
    };
    Ok(TreeSyncHandle::start(arguments).await?)
}

async fn start_decisions(config: &EntryConfig) -> Result<ActorRef<Decision>, StartError> {
    let arguments = DecisionsArguments {
        host: config.host.clone(),
        zone: config.zone.clone(),
        seed: config.seed,
        retry_percent: config.retry_percent,
        hedge_percent: config.hedge_percent,
    };
    let (decisions, _joined) = Actor::spawn(None, Decisions, arguments).await?;
    Ok(decisions)
}

async fn start_planner(
    config: &EntryConfig,
    links: &Links,
    counters: &Arc<Counters>,
    tree: &TreeSyncHandle,
    hosts: watch::Receiver<Option<Arc<HostList>>>,
) -> Result<PlannerHandle, StartError> {
    let arguments = PlannerArguments {
        host: config.host.clone(),
        settings: config.planner,
        platform: links.platform.with_kind(ControlKind::Placement),
        peers: Arc::clone(&links.peers),
        tree: tree.in_force(),
        is_tree_ready: tree.readiness(),
        hosts,
        counters: Arc::clone(counters),
        before_write: WriteGate::default(),
        seed: config.seed,
    };
    Ok(PlannerHandle::start(arguments).await?)
}

async fn serve(
    config: &EntryConfig,
    parts: &EntryParts,
    tree: &TreeSyncHandle,
) -> Result<(HttpServer, HttpServer), StartError> {
    let limits = HttpServerLimits {
        max_header_bytes: config.max_header_bytes,
        header_timeout: config.read_timeout,
    };
    let front = front(config, parts, tree);
    let callers = HttpServer::start(config.listen, limits, front).await;
    let callers = callers.map_err(|cause| StartError::Listen(config.listen, cause))?;
    let peer_http = PeerHttp::new(
        tree.clone(),
        ControlTraffic::new(Arc::clone(&parts.counters)),
    );
    let peers = HttpServer::start(config.peer_listen, limits, move |request| {
        let peer_http = peer_http.clone();
        async move { peer_http.handle(request).await }
    })
    .await;
    let peers = peers.map_err(|cause| StartError::Listen(config.peer_listen, cause))?;
    Ok((callers, peers))
}

fn front(
    config: &EntryConfig,
    parts: &EntryParts,
    tree: &TreeSyncHandle,
) -> impl Fn(Request<Incoming>) -> Answering + Clone + Send + Sync + 'static + use<> {
    let limits = CallerLimits {
        max_body_bytes: config.max_body_bytes,
        max_requests: config.max_requests,
        read_timeout: config.read_timeout,
        deadline: DeadlineLimits {
            max: config.max_deadline,
        },
    };
    let host = config.host.clone();
    let callers = CallerHttp::new(parts.clone(), tree.clone(), host.clone(), limits);
    let key = config.operator_key;
    let operators = OperatorHttp::new(parts.clone(), tree.clone(), callers.clone(), host, key);
    move |request| {
        let (callers, operators) = (callers.clone(), operators.clone());
        Box::pin(async move {
            if OperatorHttp::takes(request.uri().path()) {
                operators.handle(request).await
            } else {
                callers.handle(request).await
            }
        })
    }
}

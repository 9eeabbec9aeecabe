//! Start and graceful stop of an entry.

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
    Decisions, DecisionsArguments, DecisionsHandle, DecisionsMessage, EntryContext, watch_hosts,
    watch_zones,
};
use super::request::DeadlineLimits;
use super::{EntryConfig, StartError};
use crate::connection::{HttpServer, HttpServerLimits, PeerClient, PeerClientLimits, ResponseBody};
use crate::process::{ControlKind, ControlTraffic, Counters, PlatformClient, PlatformClientLimits};
use crate::version::{
    PlannerArguments, PlannerHandle, TreeSyncArguments, TreeSyncHandle, WriteGate,
};

/// Longest wait for open requests of peers when the entry stops; peers retry elsewhere.
const PEER_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Response of either HTTP interface, boxed so that both have one type.
type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    callers: HttpServer,
    peers: HttpServer,
    tree: TreeSyncHandle,
    planner: PlannerHandle,
    decisions: ActorRef<DecisionsMessage>,
    host_watch: JoinHandle<()>,
    zone_watch: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry; it listens at once and becomes ready when it has a settings tree.
    pub async fn start(config: EntryConfig) -> Result<Self, StartError> {
        let counters = Arc::new(match config.statsd {
            Some(address) => Counters::with_statsd("amaranth.entry", address)?,
            None => Counters::local("amaranth.entry"),
        });
        let clients = Clients::new(&config, &counters);
        let (peer_addresses, addresses) = watch::channel(Vec::new());
        let (host_list, hosts) = watch::channel(None);
        let tree = start_tree(&config, &clients, &counters, addresses).await?;
        let decisions = start_decisions(&config).await?;
        let planner = start_planner(&config, &clients, &counters, &tree, hosts).await?;
        let context = EntryContext {
            decisions: DecisionsHandle::new(decisions.clone()),
            peers: Arc::clone(&clients.peers),
            platform: clients.platform.with_kind(ControlKind::Claim),
            counters,
            tree: tree.in_force(),
            planner: planner.clone(),
        };
        let (callers, peers) = serve(&config, &context, &tree).await?;
        let zone_watch = tokio::spawn(watch_zones(tree.in_force(), context.decisions.clone()));
        let watching = watch_hosts(
            clients.platform.with_kind(ControlKind::HostList),
            context.decisions,
            config.host,
            config.host_poll_interval,
            clients.peers,
            peer_addresses,
            host_list,
        );
        let host_watch = tokio::spawn(watching);
        info!(
            "entry: listening on {} for callers and {} for peers",
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

    /// Address that callers and operators connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address that other processes of the system connect to.
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

    /// Refuses new requests, waits for open ones and returns whether all ended within the timeout.
    pub async fn stop(self, timeout: Duration) -> bool {
        info!("entry: stopping, waiting for open requests");
        let is_drained = self.callers.stop(timeout).await;
        if !is_drained {
            warn!("entry: stopped with open requests");
        }
        self.host_watch.abort();
        self.zone_watch.abort();
        self.planner.stop();
        self.tree.stop();
        self.decisions.stop(None);
        self.peers.stop(PEER_STOP_TIMEOUT).await;
        is_drained
    }
}

/// Clients of an entry, which count their traffic by control kind.
struct Clients {
    platform: PlatformClient,
    peers: Arc<PeerClient>,
}

impl Clients {
    fn new(config: &EntryConfig, counters: &Arc<Counters>) -> Self {
        let traffic = ControlTraffic::new(Arc::clone(counters));
        let limits = PeerClientLimits {
            dead_peer_timeout: config.dead_peer_timeout,
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
    clients: &Clients,
    counters: &Arc<Counters>,
    peer_addresses: watch::Receiver<Vec<SocketAddr>>,
) -> Result<TreeSyncHandle, StartError> {
    let arguments = TreeSyncArguments {
        host: config.host.clone(),
        settings: config.tree,
        platform: clients.platform.with_kind(ControlKind::TreePoll),
        peers: Arc::clone(&clients.peers),
        peer_addresses,
        counters: Arc::clone(counters),
        seed: config.seed,
    };
    Ok(TreeSyncHandle::start(arguments).await?)
}

async fn start_decisions(config: &EntryConfig) -> Result<ActorRef<DecisionsMessage>, StartError> {
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
    clients: &Clients,
    counters: &Arc<Counters>,
    tree: &TreeSyncHandle,
    hosts: watch::Receiver<Option<Arc<HostList>>>,
) -> Result<PlannerHandle, StartError> {
    let arguments = PlannerArguments {
        host: config.host.clone(),
        settings: config.planner,
        platform: clients.platform.with_kind(ControlKind::Placement),
        peers: Arc::clone(&clients.peers),
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
    context: &EntryContext,
    tree: &TreeSyncHandle,
) -> Result<(HttpServer, HttpServer), StartError> {
    let limits = HttpServerLimits {
        max_header_bytes: config.max_header_bytes,
        header_timeout: config.read_timeout,
        stall: None,
        clients: None,
    };
    let caller_service = caller_service(config, context, tree);
    let callers = HttpServer::start(config.listen, limits.clone(), caller_service).await;
    let callers = callers.map_err(|cause| StartError::Listen(config.listen, cause))?;
    let peer_http = PeerHttp::new(
        tree.clone(),
        ControlTraffic::new(Arc::clone(&context.counters)),
    );
    let peers = HttpServer::start(config.peer_listen, limits, move |request| {
        let peer_http = peer_http.clone();
        async move { peer_http.handle(request).await }
    })
    .await;
    let peers = peers.map_err(|cause| StartError::Listen(config.peer_listen, cause))?;
    Ok((callers, peers))
}

fn caller_service(
    config: &EntryConfig,
    context: &EntryContext,
    tree: &TreeSyncHandle,
) -> impl Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static + use<> {
    let limits = CallerLimits {
        max_body_bytes: config.max_body_bytes,
        max_requests: config.max_requests,
        read_timeout: config.read_timeout,
        deadline: DeadlineLimits {
            max: config.max_deadline,
        },
    };
    let host = config.host.clone();
    let callers = CallerHttp::new(context.clone(), tree.clone(), host.clone(), limits);
    let key = config.operator_key;
    let operators = OperatorHttp::new(context.clone(), tree.clone(), callers.clone(), host, key);
    move |request| {
        let (callers, operators) = (callers.clone(), operators.clone());
        Box::pin(async move {
            if OperatorHttp::handles(request.uri().path()) {
                operators.handle(request).await
            } else {
                callers.handle(request).await
            }
        })
    }
}

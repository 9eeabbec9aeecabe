//! Starts and stops an entry.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{HostId, ZoneId};
use amaranthscale_core::version::KeyHash;
use hyper::body::Incoming;
use hyper::{Request, Response};
use log::{info, warn};
use quick_error::quick_error;
use ractor::{Actor, ActorRef};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::connection::{CallerHttp, CallerLimits, OperatorHttp, PeerHttp};
use super::process::{
    Decision, Decisions, DecisionsArguments, DecisionsHandle, EntryParts, watch_hosts,
};
use super::request::DeadlineLimits;
use crate::connection::{HttpServer, HttpServerLimits, PeerClient, PeerClientLimits, ResponseBody};
use crate::process::settings::EntrySettings;
use crate::process::{ControlKind, ControlTraffic, Counters, PlatformClient, PlatformClientLimits};
use crate::version::{
    PlannerArguments, PlannerHandle, PlannerSettings, TreeKeeperArguments, TreeKeeperHandle,
    TreeKeeperSettings, WriteGate,
};

/// Longest wait for peers' open questions when the entry stops; they ask others.
const PEER_STOP_BOUND: Duration = Duration::from_millis(100);

quick_error! {
    /// An entry that could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be listened at.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen at {address}: {cause}; choose a free address")
            source(cause)
        }
        /// An actor did not start.
        Actor(cause: ractor::SpawnErr) {
            display("an actor did not start: {cause}")
            source(cause)
            from()
        }
    }
}

/// An answer on its way.
type Answering = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// What an entry is started with.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Hash of the operators' key; without one, operators are refused.
    pub operator_key: Option<KeyHash>,
    /// Longest body of a caller.
    pub max_body_bytes: usize,
    /// Most requests at once.
    pub max_requests: usize,
    /// Longest wait for a caller's headers or body.
    pub read_timeout: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Retries allowed for each hundred first tries.
    pub retry_percent: u32,
    /// Hedges allowed for each hundred first tries.
    pub hedge_percent: u32,
    /// How often to look for a newer tree.
    pub tree: TreeKeeperSettings,
    /// How this entry competes for planning the placement.
    pub planner: PlannerSettings,
    /// How often to read the host list.
    pub host_poll: Duration,
    /// Longest silence of a connection with open streams.
    pub silence: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

impl EntryConfig {
    /// Defaults for a host that knows its platform.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, platform: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host,
            zone,
            listen: any,
            peer_listen: any,
            platform,
            operator_key: None,
            max_body_bytes: 4 * 1024 * 1024,
            max_requests: 20_000,
            read_timeout: Duration::from_secs(10),
            max_deadline: Duration::from_mins(1),
            retry_percent: 10,
            hedge_percent: 1,
            tree: TreeKeeperSettings::default(),
            planner: PlannerSettings::default(),
            host_poll: Duration::from_secs(1),
            silence: Duration::from_secs(1),
            seed: rand::random(),
        }
    }
}

impl From<&EntrySettings> for EntryConfig {
    fn from(settings: &EntrySettings) -> Self {
        let host = settings.host.clone();
        Self {
            listen: settings.listen,
            peer_listen: settings.peer_listen,
            operator_key: settings.operator_key_hash,
            max_body_bytes: settings.limits.max_body_bytes,
            max_requests: settings.limits.max_requests,
            read_timeout: Duration::from_millis(settings.limits.read_timeout_ms),
            max_deadline: Duration::from_millis(settings.limits.max_deadline_ms),
            retry_percent: settings.retry.retry_percent,
            hedge_percent: settings.retry.hedge_percent,
            tree: TreeKeeperSettings::from(&settings.tree),
            silence: Duration::from_millis(settings.silence_ms),
            ..Self::new(host, settings.zone.clone(), settings.platform)
        }
    }
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    callers: HttpServer,
    peers: HttpServer,
    tree: TreeKeeperHandle,
    planner: PlannerHandle,
    decisions: ActorRef<Decision>,
    host_watch: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry; it answers at once, and is ready when it has a settings tree.
    pub async fn start(config: EntryConfig) -> Result<Self, StartError> {
        let (peer_addresses, addresses) = watch::channel(Vec::new());
        let counters = Arc::new(Counters::local("amaranth.entry"));
        let traffic = ControlTraffic::new(Arc::clone(&counters));
        let platform = PlatformClient::new(config.platform, PlatformClientLimits::default())
            .counted_by(traffic.clone());
        let silence = PeerClientLimits {
            silence: config.silence,
            ..PeerClientLimits::default()
        };
        let peers = Arc::new(PeerClient::new(silence).counted_by(traffic.clone()));
        let tree = TreeKeeperHandle::start(TreeKeeperArguments {
            host: config.host.clone(),
            settings: config.tree,
            platform: platform.of(ControlKind::TreePoll),
            peers: Arc::clone(&peers),
            peer_addresses: addresses,
            counters: Arc::clone(&counters),
            seed: config.seed,
        })
        .await?;
        let arguments = DecisionsArguments {
            host: config.host.clone(),
            zone: config.zone.clone(),
            seed: config.seed,
            retry_percent: config.retry_percent,
            hedge_percent: config.hedge_percent,
        };
        let (decisions, _joined) = Actor::spawn(None, Decisions, arguments).await?;
        let handle = DecisionsHandle::new(decisions.clone());
        let (known_hosts, hosts) = watch::channel(None);
        let planner = PlannerHandle::start(PlannerArguments {
            host: config.host.clone(),
            settings: config.planner,
            platform: platform.of(ControlKind::Placement),
            peers: Arc::clone(&peers),
            tree: tree.in_force(),
            is_tree_ready: tree.readiness(),
            hosts,
            counters: Arc::clone(&counters),
            before_write: WriteGate::default(),
            seed: config.seed,
        })
        .await?;
        let parts = EntryParts {
            decisions: handle.clone(),
            peers,
            platform: platform.of(ControlKind::Claim),
            counters,
            tree: tree.in_force(),
            planner: planner.clone(),
        };
        let (callers, peers) = serve(&config, &parts, &tree).await?;
        let watching = watch_hosts(
            platform.of(ControlKind::HostList),
            handle,
            config.host,
            config.host_poll,
            Arc::clone(&parts.peers),
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
    pub const fn tree(&self) -> &TreeKeeperHandle {
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
        self.planner.stop();
        self.tree.stop();
        self.decisions.stop(None);
        self.peers.stop(PEER_STOP_BOUND).await;
        is_drained
    }
}

async fn serve(
    config: &EntryConfig,
    parts: &EntryParts,
    tree: &TreeKeeperHandle,
) -> Result<(HttpServer, HttpServer), StartError> {
    let limits = HttpServerLimits {
        header_timeout: config.read_timeout,
        ..HttpServerLimits::default()
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
    tree: &TreeKeeperHandle,
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

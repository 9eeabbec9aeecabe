//! Engines with their sidecars and planners, around one platform stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale::connection::{PeerClient, PeerClientLimits};
use amaranthscale::process::{
    Counters, PlatformClient, PlatformClientLimits, TableWrite, new_write_id, poll_hosts,
};
use amaranthscale::sidecar::{OrderSettings, Sidecar, SidecarConfig, SidecarLimits, TreeSource};
use amaranthscale::version::{PlannerArguments, PlannerHandle, PlannerSettings, WriteGate};
use amaranthscale_core::id::{
    FencingNumber, HostId, ModelId, PlacementVersion, ServiceId, TreeVersion,
};
use amaranthscale_core::version::{
    Assignment, CompiledTree, ConditionalWrite, PLACEMENT_KEY, Placement, Service, SettingsTree,
    TreeEdit, WriteStep, placement_head,
};
use amaranthscale_core::wire::{HostList, HostRecord, HostState, Row};
use amaranthscale_standins::engine::{Engine, EngineSettings, OrderState};
use amaranthscale_standins::http::{HttpClient, RunningStandin};
use amaranthscale_standins::platform::{Platform, PlatformSettings};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Time between two looks of planners and sidecars; short, as tests wait for many of them.
const POLL: Duration = Duration::from_millis(20);
/// Lease of the planners of a test.
const LEASE: Duration = Duration::from_millis(300);
/// Bound on each wait; generous, since tests share a busy machine.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Pause between two checks of an awaited event.
const CHECK_PAUSE: Duration = Duration::from_millis(5);

/// A platform, and what tests ask it.
pub struct OrdersBench {
    pub platform: RunningStandin,
    pub table: PlatformClient,
    pub client: HttpClient,
}

/// A planner, and what it goes by.
pub struct BenchPlanner {
    pub handle: PlannerHandle,
    pub counters: Arc<Counters>,
    pub tree: watch::Sender<Arc<CompiledTree>>,
    _is_tree_ready: watch::Sender<bool>,
}

impl OrdersBench {
    pub async fn start() -> Self {
        let unbounded = PlatformSettings {
            reads_per_second: u32::MAX,
            writes_per_second: u32::MAX,
            ..PlatformSettings::default()
        };
        let platform = Platform::start(unbounded).await.unwrap();
        let table = PlatformClient::new(platform.address(), PlatformClientLimits::default());
        Self {
            platform,
            table,
            client: HttpClient::new(),
        }
    }

    /// A sidecar before an engine, looking often.
    pub async fn sidecar(
        &self,
        number: u32,
        engine: &RunningStandin,
        order_timeout: Duration,
    ) -> Sidecar {
        let config = SidecarConfig {
            host: host(number),
            service: pool(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            backend: engine.address(),
            platform: self.platform.address(),
            statsd: None,
            orders: Some(OrderSettings {
                poll_interval: POLL,
                order_timeout,
                refusal_retry_delay: POLL,
                ..OrderSettings::default()
            }),
            limits: SidecarLimits::default(),
        };
        let started = Sidecar::start(config, TreeSource::default()).await;
        started.unwrap()
    }

    /// A planner that goes by a tree of its own and the platform's host list.
    pub async fn planner(
        &self,
        name: &str,
        tree: CompiledTree,
        settings: PlannerSettings,
        before_write: WriteGate,
    ) -> BenchPlanner {
        let (known_hosts, hosts) = watch::channel(None);
        let polling = poll_hosts(self.table.clone(), POLL, move |hosts: HostList| {
            known_hosts.send_replace(Some(Arc::new(hosts)));
        });
        tokio::spawn(polling);
        let (is_tree_ready, ready) = watch::channel(true);
        let (tree, in_force) = watch::channel(Arc::new(tree));
        let counters = Arc::new(Counters::local("test"));
        let arguments = PlannerArguments {
            host: name.parse().unwrap(),
            settings,
            platform: self.table.clone(),
            peers: Arc::new(PeerClient::new(PeerClientLimits::default())),
            tree: in_force,
            is_tree_ready: ready,
            hosts,
            counters: Arc::clone(&counters),
            before_write,
            seed: 7,
        };
        BenchPlanner {
            handle: PlannerHandle::start(arguments).await.unwrap(),
            counters,
            tree,
            _is_tree_ready: is_tree_ready,
        }
    }

    /// Puts an engine's host on the host list, in a zone of its own.
    pub async fn list(&self, number: u32, sidecar: SocketAddr) {
        let record = HostRecord {
            host: host(number),
            address: sidecar,
            region: "region".parse().unwrap(),
            zone: format!("zone-{number}").parse().unwrap(),
            service: Some(pool()),
            state: HostState::Live,
        };
        let body = serde_json::to_value(record).unwrap();
        self.admin("/admin/hosts/put", &body).await;
    }

    pub async fn leave(&self, number: u32) {
        let change = json!({"host": host(number), "state": HostState::Leaving});
        self.admin("/admin/hosts/state", &change).await;
    }

    pub async fn outage(&self, is_out: bool) {
        self.admin("/admin/faults", &json!({"outage": is_out}))
            .await;
    }

    async fn admin(&self, path: &str, body: &serde_json::Value) {
        let body = serde_json::to_vec(body).unwrap();
        let reply = self.client.post(self.platform.url(path), &[], body).await;
        reply.unwrap().success().unwrap();
    }

    /// Writes a placement of some models on one host, as a planner would.
    pub async fn place(&self, number: u32, names: &[&str]) -> Row {
        let current = self.table.row(PLACEMENT_KEY).await.unwrap();
        let assignment = Assignment {
            models: names.iter().map(|name| model(name)).collect(),
            ..Assignment::default()
        };
        let placement = Placement {
            fencing: FencingNumber::new(1),
            tree_version: TreeVersion::new(1),
            assignments: BTreeMap::from([(host(number), assignment)]),
        };
        let body = serde_json::to_string(&placement).unwrap();
        let version = PlacementVersion::new(current.version.next().get());
        let write = ConditionalWrite::new(PLACEMENT_KEY, current.version, body, new_write_id())
            .also_writing(placement_head(version));
        let mut write = TableWrite::new(write);
        let until = Instant::now() + WAIT_LIMIT;
        match write.settle_until(&self.table, until).await {
            Some(WriteStep::Won { row }) => row,
            other => panic!("the placement was not written: {other:?}"),
        }
    }

    pub async fn placement(&self) -> (Row, Placement) {
        let row = self.table.row(PLACEMENT_KEY).await.unwrap();
        let placement = Placement::parse(&row).unwrap_or_default();
        (row, placement)
    }

    /// What an engine has been ordered; it tells also while frozen.
    pub async fn orders(&self, engine: &RunningStandin) -> OrderState {
        let orders = self.client.get_json(engine.url("/orders")).await;
        orders.unwrap()
    }

    pub async fn until_loaded(&self, engine: &RunningStandin, names: &[&str]) {
        let wanted: Vec<_> = names.iter().map(|name| model(name)).collect();
        until("the engine runs its models", async || {
            self.orders(engine).await.models == wanted
        })
        .await;
    }
}

impl BenchPlanner {
    pub fn count(&self, reason: &str) -> u64 {
        let totals = self.counters.totals();
        let counted = totals.get(&format!("planner.{reason}"));
        counted.copied().unwrap_or_default()
    }
}

/// Settings of a planner that looks often.
pub fn quick_planner() -> PlannerSettings {
    PlannerSettings {
        poll_interval: POLL,
        lease_duration: LEASE,
        ..PlannerSettings::default()
    }
}

/// A tree whose one service wants a model.
pub fn tree(versions: u32, model_name: &str, replicas: u32) -> CompiledTree {
    let put = put_service(model_name, replicas);
    let tree = (0..versions).fold(SettingsTree::empty(), |tree, _| tree.apply(&put).unwrap());
    CompiledTree::new(tree).unwrap()
}

/// An edit that wants replicas of a model.
pub fn put_service(model_name: &str, replicas: u32) -> TreeEdit {
    TreeEdit::PutService {
        id: pool(),
        service: Service::repeatable().with_model(model(model_name), replicas),
    }
}

pub async fn engine(honours_fence: bool) -> RunningStandin {
    let settings = EngineSettings {
        honours_fence,
        ..EngineSettings::default()
    };
    Engine::start(settings).await.unwrap()
}

pub fn pool() -> ServiceId {
    "amaranth-pool".parse().unwrap()
}

pub fn host(number: u32) -> HostId {
    format!("engine-{number}").parse().unwrap()
}

pub fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}

/// Total of one counter of a sidecar.
pub fn counted(sidecar: &Sidecar, name: &str) -> u64 {
    let totals = sidecar.counters().totals();
    totals.get(name).copied().unwrap_or_default()
}

/// Waits for an event that only a repeated check can see.
pub async fn until(awaited: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            sleep(CHECK_PAUSE).await;
        }
    };
    let waited = timeout(WAIT_LIMIT, waiting).await;
    assert!(waited.is_ok(), "did not happen: {awaited}");
}

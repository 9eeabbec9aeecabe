//! Engines with their sidecars, and planners, that share one stand-in platform.

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

/// Poll interval of planners and sidecars; short, as tests wait for many polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Lease duration of the planners.
const LEASE_DURATION: Duration = Duration::from_millis(300);
/// Timeout of each wait; long, as tests may run on a busy host.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Delay between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A platform, with clients of its table and its HTTP interface.
pub struct OrdersFixture {
    pub platform: RunningStandin,
    pub table: PlatformClient,
    pub client: HttpClient,
}

/// A planner, its counters and its settings tree.
pub struct TestPlanner {
    pub handle: PlannerHandle,
    pub counters: Arc<Counters>,
    pub tree: watch::Sender<Arc<CompiledTree>>,
    _is_tree_ready: watch::Sender<bool>,
}

impl OrdersFixture {
    pub async fn start() -> Self {
        let unlimited = PlatformSettings {
            reads_per_second: u32::MAX,
            writes_per_second: u32::MAX,
            ..PlatformSettings::default()
        };
        let platform = Platform::start(unlimited).await.unwrap();
        let table = PlatformClient::new(platform.address(), PlatformClientLimits::default());
        Self {
            platform,
            table,
            client: HttpClient::new(),
        }
    }

    /// Starts a sidecar of an engine, with a short poll interval.
    pub async fn sidecar(
        &self,
        number: u32,
        engine: &RunningStandin,
        order_timeout: Duration,
    ) -> Sidecar {
        let config = SidecarConfig {
            host: host_id(number),
            service: service_id(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            backend: engine.address(),
            platform: self.platform.address(),
            statsd: None,
            orders: Some(OrderSettings {
                poll_interval: POLL_INTERVAL,
                order_timeout,
                refusal_retry_delay: POLL_INTERVAL,
                ..OrderSettings::default()
            }),
            limits: SidecarLimits::default(),
        };
        let started = Sidecar::start(config, TreeSource::default()).await;
        started.unwrap()
    }

    /// Starts a planner that uses the given tree and the platform's host list.
    pub async fn planner(
        &self,
        name: &str,
        tree: CompiledTree,
        settings: PlannerSettings,
        before_write: WriteGate,
    ) -> TestPlanner {
        let (hosts_sender, hosts) = watch::channel(None);
        let polling = poll_hosts(self.table.clone(), POLL_INTERVAL, move |hosts: HostList| {
            hosts_sender.send_replace(Some(Arc::new(hosts)));
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
        TestPlanner {
            handle: PlannerHandle::start(arguments).await.unwrap(),
            counters,
            tree,
            _is_tree_ready: is_tree_ready,
        }
    }

    /// Adds an engine's host to the host list, in its own zone.
    pub async fn add_host(&self, number: u32, sidecar: SocketAddr) {
        let record = HostRecord {
            host: host_id(number),
            address: sidecar,
            region: "region".parse().unwrap(),
            zone: format!("zone-{number}").parse().unwrap(),
            service: Some(service_id()),
            state: HostState::Live,
        };
        let body = serde_json::to_value(record).unwrap();
        self.admin("/admin/hosts/put", &body).await;
    }

    pub async fn mark_leaving(&self, number: u32) {
        let change = json!({"host": host_id(number), "state": HostState::Leaving});
        self.admin("/admin/hosts/state", &change).await;
    }

    pub async fn set_outage(&self, is_unavailable: bool) {
        self.admin("/admin/faults", &json!({"outage": is_unavailable}))
            .await;
    }

    async fn admin(&self, path: &str, body: &serde_json::Value) {
        let body = serde_json::to_vec(body).unwrap();
        let reply = self.client.post(self.platform.url(path), &[], body).await;
        reply.unwrap().success().unwrap();
    }

    /// Writes a placement of models on one host, as a planner would.
    pub async fn write_placement(&self, number: u32, names: &[&str]) -> Row {
        let current = self.table.row(PLACEMENT_KEY).await.unwrap();
        let assignment = Assignment {
            models: names.iter().map(|name| model_id(name)).collect(),
            ..Assignment::default()
        };
        let placement = Placement {
            fencing: FencingNumber::new(1),
            tree_version: TreeVersion::new(1),
            assignments: BTreeMap::from([(host_id(number), assignment)]),
        };
        let body = serde_json::to_string(&placement).unwrap();
        let version = PlacementVersion::new(current.version.next().get());
        let write = ConditionalWrite::new(PLACEMENT_KEY, current.version, body, new_write_id())
            .also_writing(placement_head(version));
        let mut write = TableWrite::new(write);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        match write.settle_until(&self.table, deadline).await {
            Some(WriteStep::Won { row }) => row,
            other => panic!("the placement was not written: {other:?}"),
        }
    }

    pub async fn placement(&self) -> (Row, Placement) {
        let row = self.table.row(PLACEMENT_KEY).await.unwrap();
        let placement = Placement::parse(&row).unwrap_or_default();
        (row, placement)
    }

    /// The orders that an engine has received; it reports them while frozen as well.
    pub async fn orders(&self, engine: &RunningStandin) -> OrderState {
        let orders = self.client.get_json(engine.url("/orders")).await;
        orders.unwrap()
    }

    pub async fn wait_until_loaded(&self, engine: &RunningStandin, names: &[&str]) {
        let expected: Vec<_> = names.iter().map(|name| model_id(name)).collect();
        poll_until("the engine runs its models", async || {
            self.orders(engine).await.models == expected
        })
        .await;
    }
}

impl TestPlanner {
    pub fn counter(&self, reason: &str) -> u64 {
        let totals = self.counters.totals();
        let counted = totals.get(&format!("planner.{reason}"));
        counted.copied().unwrap_or_default()
    }
}

/// Planner settings with a short poll interval and lease.
pub fn fast_planner_settings() -> PlannerSettings {
    PlannerSettings {
        poll_interval: POLL_INTERVAL,
        lease_duration: LEASE_DURATION,
        ..PlannerSettings::default()
    }
}

/// A tree of the given version whose one service requires replicas of a model.
pub fn compiled_tree(versions: u32, model_name: &str, replicas: u32) -> CompiledTree {
    let put = put_service(model_name, replicas);
    let tree = (0..versions).fold(SettingsTree::empty(), |tree, _| tree.apply(&put).unwrap());
    CompiledTree::new(tree).unwrap()
}

/// An edit that requires replicas of a model.
pub fn put_service(model_name: &str, replicas: u32) -> TreeEdit {
    TreeEdit::PutService {
        id: service_id(),
        service: Service::repeatable().with_model(model_id(model_name), replicas),
    }
}

pub async fn start_engine(honours_fence: bool) -> RunningStandin {
    let settings = EngineSettings {
        honours_fence,
        ..EngineSettings::default()
    };
    Engine::start(settings).await.unwrap()
}

pub fn service_id() -> ServiceId {
    "amaranth-pool".parse().unwrap()
}

pub fn host_id(number: u32) -> HostId {
    format!("engine-{number}").parse().unwrap()
}

pub fn model_id(name: &str) -> ModelId {
    name.parse().unwrap()
}

/// Value of a counter of a sidecar.
pub fn sidecar_counter(sidecar: &Sidecar, name: &str) -> u64 {
    let totals = sidecar.counters().totals();
    totals.get(name).copied().unwrap_or_default()
}

/// Repeats a check until it holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn poll_until(condition: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            sleep(CHECK_INTERVAL).await;
        }
    };
    let waited = timeout(WAIT_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "did not happen: {condition}");
}

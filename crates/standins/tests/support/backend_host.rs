//! A backend server and its sidecar as child processes.

use std::net::SocketAddr;
use std::path::Path;

use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::EngineExecution;
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::service::ServiceExecution;
use serde_json::Value;

use super::settings_file::start_daemon;
use super::{ChildProcess, RelayProcess, set_faults, wait_until};

/// Configuration of a host with a backend server.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Name of the host.
    pub host: String,
    /// Service of the backend server.
    pub service: &'static str,
    /// Maximum number of concurrent attempts.
    pub slots: u32,
    /// Whether entries reach the sidecar through a relay.
    pub has_relay: bool,
    /// Maximum duration of the sidecar's graceful stop.
    pub drain_ms: u64,
    /// Time that an engine takes per token; `None` for a plain service.
    pub token_ms: Option<u64>,
}

impl BackendPlan {
    /// A host of the grower ledger, a plain service.
    pub fn ledger(number: u32) -> Self {
        Self {
            host: format!("grower-ledger-{number}"),
            service: "grower-ledger",
            slots: 8,
            has_relay: false,
            drain_ms: 30_000,
            token_ms: None,
        }
    }

    /// A host of a pipeline stage, served by a model engine.
    pub fn engine(service: &'static str, token_ms: u64) -> Self {
        Self {
            host: format!("{service}-1"),
            service,
            token_ms: Some(token_ms),
            ..Self::ledger(1)
        }
    }

    /// The same host with one slot.
    pub fn with_one_slot(self) -> Self {
        Self { slots: 1, ..self }
    }

    /// The same host with a relay in front of its sidecar.
    pub fn with_relay(self) -> Self {
        let has_relay = true;
        Self { has_relay, ..self }
    }
}

/// A backend server and its sidecar as child processes.
#[derive(Debug)]
pub struct BackendHost {
    /// The backend server's process.
    pub backend: ChildProcess,
    /// The sidecar's process.
    pub sidecar: ChildProcess,
    relay: Option<RelayProcess>,
    plan: BackendPlan,
    platform: SocketAddr,
    http: HttpClient,
}

impl BackendHost {
    /// Starts a backend server, its sidecar, and a relay if the plan has one.
    pub fn start(settings_dir: &Path, plan: BackendPlan, platform: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let backend = start_backend(&plan, any_port);
        let sidecar = start_sidecar(settings_dir, &plan, backend.address(), platform);
        let relay = plan
            .has_relay
            .then(|| RelayProcess::start(sidecar.address()));
        Self {
            backend,
            sidecar,
            relay,
            plan,
            platform,
            http: HttpClient::new(),
        }
    }

    /// Name of the host.
    pub fn host(&self) -> &str {
        &self.plan.host
    }

    /// Service of the backend server.
    pub fn service(&self) -> &'static str {
        self.plan.service
    }

    /// Address at which entries reach the sidecar.
    pub fn address(&self) -> SocketAddr {
        let relayed = self.relay.as_ref().map(RelayProcess::address);
        relayed.unwrap_or_else(|| self.sidecar.address())
    }

    /// The relay in front of the sidecar.
    pub fn relay(&self) -> &RelayProcess {
        self.relay.as_ref().expect("the plan has a relay")
    }

    /// Restarts a backend server that has exited, at the same address.
    pub fn restart_backend(&mut self) {
        self.backend = start_backend(&self.plan, self.backend.address());
    }

    /// Restarts a sidecar that has exited; the new one listens at another address.
    pub fn restart_sidecar(&mut self, settings_dir: &Path) {
        let backend = self.backend.address();
        self.sidecar = start_sidecar(settings_dir, &self.plan, backend, self.platform);
    }

    /// Sets faults of the backend server.
    pub async fn set_faults(&self, faults: BackendFaults) {
        set_faults(&self.http, self.backend.url("/admin/faults"), &faults).await;
    }

    /// Blocks calls that have started, or releases them.
    pub async fn hold_calls(&self, is_held: bool) {
        let hold = Some(is_held);
        self.set_faults(BackendFaults {
            hold,
            ..BackendFaults::default()
        })
        .await;
    }

    /// Executions of the plain service.
    pub async fn executions(&self) -> Vec<ServiceExecution> {
        let url = self.backend.url("/executions");
        let executions = HttpClient::new().get_json(url).await;
        executions.expect("a service reports its executions")
    }

    /// Calls that came later than half a second after the plain service had turned one away.
    pub async fn calls_in_backoff(&self) -> u32 {
        let url = self.backend.url("/calls-in-backoff");
        let calls = HttpClient::new().get_json(url).await;
        calls.expect("a service reports its calls")
    }

    /// Executions of the engine.
    pub async fn engine_executions(&self) -> Vec<EngineExecution> {
        let url = self.backend.url("/executions");
        let executions = HttpClient::new().get_json(url).await;
        executions.expect("an engine reports its executions")
    }

    /// Waits until the plain service has begun at least `count` executions.
    pub async fn wait_for_executions(&self, count: usize) {
        let condition = format!("{} executes {count} calls", self.host());
        wait_until(&condition, async || self.executions().await.len() >= count).await;
    }

    /// The sidecar's `/status`.
    pub async fn status(&self) -> Value {
        let url = self.sidecar.url("/status");
        let status = HttpClient::new().get_json(url).await;
        status.expect("a sidecar reports its status")
    }

    /// A counter of the sidecar; 0 if it was never incremented.
    pub async fn counter(&self, name: &str) -> u64 {
        self.status().await["counters"][name].as_u64().unwrap_or(0)
    }

    /// Waits until a counter of the sidecar is at least `minimum`.
    pub async fn wait_for_counter(&self, name: &str, minimum: u64) {
        let condition = format!("{} counts at least {minimum} of {name}", self.host());
        wait_until(&condition, async || self.counter(name).await >= minimum).await;
    }

    /// Waits until the sidecar has at least this version of the settings tree.
    pub async fn wait_for_tree(&self, version: u64) {
        let condition = format!("{} has version {version} of the tree", self.host());
        wait_until(&condition, async || {
            self.status().await["tree_version"].as_u64() >= Some(version)
        })
        .await;
    }

    /// Waits until exactly `count` attempts are queued at the sidecar.
    pub async fn wait_for_queued(&self, count: u64) {
        let condition = format!("{count} attempts are queued at {}", self.host());
        wait_until(&condition, async || {
            self.status().await["gate"]["queued"].as_u64() == Some(count)
        })
        .await;
    }

    /// Waits until the claim rows of exactly `count` calls have yet to be written.
    pub async fn wait_for_unsettled(&self, count: u64) {
        let condition = format!("{count} claims are unsettled at {}", self.host());
        wait_until(&condition, async || {
            self.status().await["unsettled_claims"].as_u64() == Some(count)
        })
        .await;
    }
}

fn start_backend(plan: &BackendPlan, listen: SocketAddr) -> ChildProcess {
    let listen = listen.to_string();
    let started = match plan.token_ms {
        None => {
            let program = env!("CARGO_BIN_EXE_standin-service");
            ChildProcess::start(program, ["--listen", &listen, "--name", plan.service])
        }
        Some(token_ms) => {
            let program = env!("CARGO_BIN_EXE_standin-engine");
            let token_ms = token_ms.to_string();
            ChildProcess::start(program, ["--listen", &listen, "--token-ms", &token_ms])
        }
    };
    started.expect("the backend server starts")
}

fn start_sidecar(
    settings_dir: &Path,
    plan: &BackendPlan,
    backend: SocketAddr,
    platform: SocketAddr,
) -> ChildProcess {
    let BackendPlan {
        host,
        service,
        slots,
        drain_ms,
        ..
    } = plan;
    let settings = format!(
        "[sidecar]\nhost = {host}\nregion = delta-south\nzone = north-yard\n\
         service = {service}\nbackend = {backend}\nplatform = {platform}\n\
         [queue]\nslots = {slots}\npaid_reserve_slots = 0\n\
         [drain]\ndrain_ms = {drain_ms}\n[log]\nlevel = error\n"
    );
    start_daemon("amaranth-sidecar", settings_dir, host, &settings)
}

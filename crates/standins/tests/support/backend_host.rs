//! A backend server with its sidecar, each a process.

use std::net::SocketAddr;
use std::path::Path;

use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::engine::EngineExecution;
use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::service::ServiceExecution;
use serde_json::Value;

use super::settings_file::start_daemon;
use super::{ChildProcess, RelayProcess, switch, wait_until};

/// What a host of a backend server consists of.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Name of the host.
    pub host: String,
    /// Service of the backend server.
    pub service: &'static str,
    /// Attempts that it takes at once.
    pub slots: u32,
    /// Whether a relay stands between entries and the sidecar.
    pub has_relay: bool,
    /// Longest graceful stop of the sidecar.
    pub drain_ms: u64,
    /// Time of an engine's token; none for a plain service.
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

    /// A host of a stage, served by a model engine.
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

    /// The same host with a relay before its sidecar.
    pub fn with_relay(self) -> Self {
        let has_relay = true;
        Self { has_relay, ..self }
    }
}

/// A backend server with its sidecar, each a process.
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
    /// Starts a backend server, its sidecar, and a relay if it is asked for.
    pub fn start(folder: &Path, plan: BackendPlan, platform: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let backend = start_backend(&plan, any_port);
        let sidecar = start_sidecar(folder, &plan, backend.address(), platform);
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

    /// The relay before the sidecar.
    pub fn relay(&self) -> &RelayProcess {
        self.relay.as_ref().expect("a relay was planned")
    }

    /// Replaces a backend server that has ended, at the same address.
    pub fn restart_backend(&mut self) {
        self.backend = start_backend(&self.plan, self.backend.address());
    }

    /// Replaces a sidecar that has ended; it listens at another address.
    pub fn restart_sidecar(&mut self, folder: &Path) {
        let backend = self.backend.address();
        self.sidecar = start_sidecar(folder, &self.plan, backend, self.platform);
    }

    /// Switches faults of the backend server.
    pub async fn switch(&self, faults: BackendFaults) {
        switch(&self.http, self.backend.url("/admin/faults"), &faults).await;
    }

    /// Holds calls that have started, or lets them go.
    pub async fn hold(&self, is_held: bool) {
        let hold = Some(is_held);
        self.switch(BackendFaults {
            hold,
            ..BackendFaults::default()
        })
        .await;
    }

    /// What the plain service has executed.
    pub async fn executions(&self) -> Vec<ServiceExecution> {
        let url = self.backend.url("/executions");
        let executions = HttpClient::new().get_json(url).await;
        executions.expect("a service tells what it has executed")
    }

    /// What the engine has executed.
    pub async fn engine_executions(&self) -> Vec<EngineExecution> {
        let url = self.backend.url("/executions");
        let executions = HttpClient::new().get_json(url).await;
        executions.expect("an engine tells what it has executed")
    }

    /// Waits until the plain service has begun so many executions.
    pub async fn wait_for_executions(&self, count: usize) {
        let awaited = format!("{} executes {count} calls", self.host());
        wait_until(&awaited, async || self.executions().await.len() >= count).await;
    }

    /// What the sidecar tells of itself.
    pub async fn status(&self) -> Value {
        let url = self.sidecar.url("/status");
        let status = HttpClient::new().get_json(url).await;
        status.expect("a sidecar tells its status")
    }

    /// A counter of the sidecar, 0 if it never counted.
    pub async fn counter(&self, name: &str) -> u64 {
        self.status().await["counters"][name].as_u64().unwrap_or(0)
    }

    /// Waits until a counter of the sidecar has reached a number.
    pub async fn wait_for_counter(&self, name: &str, least: u64) {
        let awaited = format!("{} counts {least} of {name}", self.host());
        wait_until(&awaited, async || self.counter(name).await >= least).await;
    }

    /// Waits until the sidecar has at least a version of the tree.
    pub async fn wait_for_tree(&self, version: u64) {
        let awaited = format!("{} has version {version}", self.host());
        wait_until(&awaited, async || {
            self.status().await["tree_version"].as_u64() >= Some(version)
        })
        .await;
    }

    /// Waits until so many attempts wait at the sidecar.
    pub async fn wait_for_queued(&self, count: u64) {
        let awaited = format!("{count} attempts wait at {}", self.host());
        wait_until(&awaited, async || {
            self.status().await["gate"]["queued"].as_u64() == Some(count)
        })
        .await;
    }

    /// Waits until the rows of so many calls are still to be written.
    pub async fn wait_for_unsettled(&self, count: u64) {
        let awaited = format!("{count} claims are unsettled at {}", self.host());
        wait_until(&awaited, async || {
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
    folder: &Path,
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
    start_daemon("amaranth-sidecar", folder, host, &settings)
}

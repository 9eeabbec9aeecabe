//! A small Delta Basin deployment: platform, backend servers with sidecars, and entries, each a
//! child process.

use std::path::Path;

use amaranthscale_standins::service::ServiceExecution;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::{AnswerChecker, BackendHost, BackendPlan, EntryProcess, PlatformProcess, Request};

/// Initial settings tree of Delta Basin.
const TREE: &str = include_str!("../../../../examples/delta-basin/tree.json");

/// Configuration of a small Delta Basin.
#[derive(Debug, Clone)]
pub struct BasinPlan {
    /// Number of entries.
    pub entries: u32,
    /// Hosts of backend servers.
    pub backends: Vec<BackendPlan>,
    /// Additional settings of entries, in INI format.
    pub entry_settings: &'static str,
}

impl BasinPlan {
    /// Two entries in front of the given hosts of backend servers.
    pub fn new(backends: impl Into<Vec<BackendPlan>>) -> Self {
        Self {
            entries: 2,
            backends: backends.into(),
            entry_settings: "",
        }
    }

    /// All four stages of the pipeline; the last stage has a relay in front of its sidecar.
    pub fn pipeline(token_ms: u64) -> Self {
        let stage = |service| BackendPlan::engine(service, token_ms);
        Self::new([
            stage("assay-llm").with_relay(),
            stage("encoders"),
            stage("retrievers"),
            stage("rerankers"),
        ])
    }

    /// The same plan with another number of entries.
    pub fn with_entries(self, entries: u32) -> Self {
        Self { entries, ..self }
    }

    /// The same plan with additional settings of entries.
    pub fn with_entry_settings(self, entry_settings: &'static str) -> Self {
        Self {
            entry_settings,
            ..self
        }
    }
}

/// A small Delta Basin; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct DeltaBasin {
    /// The platform.
    pub platform: PlatformProcess,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// The hosts of backend servers.
    pub backends: Vec<BackendHost>,
    settings_dir: TempDir,
    plan: BasinPlan,
}

impl DeltaBasin {
    /// Starts all processes and waits until every entry has the settings tree and all hosts.
    pub async fn start(plan: BasinPlan) -> Self {
        let mut basin = Self {
            platform: PlatformProcess::start(),
            entries: Vec::new(),
            backends: Vec::new(),
            settings_dir: TempDir::new().expect("a directory for settings"),
            plan,
        };
        for number in 0..basin.plan.entries {
            basin.add_entry(&format!("entry-{number}")).await;
        }
        basin.import_tree().await;
        for backend in basin.plan.backends.clone() {
            basin.add_backend(backend).await;
        }
        basin.wait_until_ready().await;
        basin
    }

    /// Directory of the settings files.
    pub fn settings_dir(&self) -> &Path {
        self.settings_dir.path()
    }

    /// Starts an entry and adds it to the host list.
    pub async fn add_entry(&mut self, host: &str) {
        let entry = self.start_entry(host);
        let address = entry.peer_address();
        self.platform.put_host(host, address, None).await;
        self.entries.push(entry);
    }

    /// Starts an entry that is not in the host list.
    pub fn start_entry(&self, host: &str) -> EntryProcess {
        let extra_settings = self.plan.entry_settings;
        EntryProcess::start(
            self.settings_dir(),
            host,
            self.platform.address(),
            extra_settings,
        )
    }

    /// Restarts a sidecar that has exited and publishes its new address in the host list.
    pub async fn replace_sidecar(&mut self, number: usize) {
        let (settings_dir, platform) = (self.settings_dir.path(), &self.platform);
        let backend = &mut self.backends[number];
        backend.restart_sidecar(settings_dir);
        let (host, service) = (backend.host(), Some(backend.service()));
        platform.put_host(host, backend.address(), service).await;
    }

    /// Makes `count` settlements, one after the other, at each entry in turn; all must complete.
    pub async fn make_settlements(&self, checker: &mut AnswerChecker, marker: &str, count: usize) {
        for number in 0..count {
            let settlement = Request::settlement(&format!("{marker}-{number}"));
            let entry = &self.entries[number % self.entries.len()];
            let answer = settlement.send_until_final(entry).await;
            assert!(answer.is_complete(), "{answer:?}");
            checker.record(&settlement, Some(answer));
        }
    }

    /// Executions of all plain services.
    pub async fn executions(&self) -> Vec<ServiceExecution> {
        let mut executions = Vec::new();
        for backend in &self.backends {
            executions.extend(backend.executions().await);
        }
        executions
    }

    /// Waits until at least this version of the settings tree is in force at all entries.
    pub async fn wait_for_tree(&self, version: u64) {
        for entry in &self.entries {
            entry.wait_for_tree(version).await;
        }
    }

    async fn add_backend(&mut self, plan: BackendPlan) {
        let backend = BackendHost::start(self.settings_dir(), plan, self.platform.address());
        let (host, service) = (backend.host(), Some(backend.service()));
        self.platform
            .put_host(host, backend.address(), service)
            .await;
        self.backends.push(backend);
    }

    async fn import_tree(&self) {
        let entry = &self.entries[0];
        entry.wait_for_tree(0).await;
        let tree: Value = serde_json::from_str(TREE).expect("the tree is JSON");
        let import = json!({"kind": "import", "tree": tree});
        let reply = entry.edit(0, "test", &import).await;
        reply.success().expect("the tree is accepted");
    }

    async fn wait_until_ready(&self) {
        self.wait_for_tree(1).await;
        let hosts = self.platform.host_count().await;
        for entry in &self.entries {
            entry.wait_for_hosts(hosts).await;
        }
    }
}

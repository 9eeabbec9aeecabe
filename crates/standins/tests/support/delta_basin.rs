//! Delta Basin in small: platform, backend servers with sidecars, and entries, all processes.

use std::path::Path;

use amaranthscale_standins::service::ServiceExecution;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::{BackendHost, BackendPlan, EntryProcess, Judge, PlatformProcess, Request};

/// The settings tree that Delta Basin starts with.
const TREE: &str = include_str!("../../../../examples/delta-basin/tree.json");

/// What a small Delta Basin consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of entries.
    pub entries: u32,
    /// Hosts of backend servers.
    pub backends: Vec<BackendPlan>,
    /// Further settings of entries, in INI.
    pub entry_settings: &'static str,
}

impl Plan {
    /// Two entries before some hosts of backend servers.
    pub fn new(backends: impl Into<Vec<BackendPlan>>) -> Self {
        Self {
            entries: 2,
            backends: backends.into(),
            entry_settings: "",
        }
    }

    /// All four stages of the pipeline, the last with a relay before its sidecar.
    pub fn pipeline(token_ms: u64) -> Self {
        let stage = |service| BackendPlan::engine(service, token_ms);
        Self::new([
            stage("assay-llm").with_relay(),
            stage("encoders"),
            stage("retrievers"),
            stage("rerankers"),
        ])
    }

    /// The same with another number of entries.
    pub fn with_entries(self, entries: u32) -> Self {
        Self { entries, ..self }
    }

    /// The same with further settings of entries.
    pub fn with_entry_settings(self, entry_settings: &'static str) -> Self {
        Self {
            entry_settings,
            ..self
        }
    }
}

/// Delta Basin in small; all its processes end with it.
#[derive(Debug)]
pub struct DeltaBasin {
    /// The platform.
    pub platform: PlatformProcess,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// The hosts of backend servers.
    pub backends: Vec<BackendHost>,
    folder: TempDir,
    plan: Plan,
}

impl DeltaBasin {
    /// Starts all processes and waits until every entry is ready by the tree and knows all hosts.
    pub async fn start(plan: Plan) -> Self {
        let mut basin = Self {
            platform: PlatformProcess::start(),
            entries: Vec::new(),
            backends: Vec::new(),
            folder: TempDir::new().expect("a folder for settings"),
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

    /// Folder of the settings files.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts an entry and puts it into the host list.
    pub async fn add_entry(&mut self, host: &str) {
        let entry = self.start_entry(host);
        let address = entry.peer_address();
        self.platform.put_host(host, address, None).await;
        self.entries.push(entry);
    }

    /// Starts an entry that the host list does not show yet.
    pub fn start_entry(&self, host: &str) -> EntryProcess {
        let more = self.plan.entry_settings;
        EntryProcess::start(self.folder(), host, self.platform.address(), more)
    }

    /// Replaces a sidecar that has ended, and waits until all entries know its new address.
    pub async fn replace_sidecar(&mut self, number: usize) {
        let (folder, platform) = (self.folder.path(), &self.platform);
        let backend = &mut self.backends[number];
        backend.restart_sidecar(folder);
        let (host, service) = (backend.host(), Some(backend.service()));
        platform.put_host(host, backend.address(), service).await;
    }

    /// Makes so many settlements at the entries in turn, one after the other; all must be complete.
    pub async fn settle(&self, judge: &mut Judge, marker: &str, count: usize) {
        for number in 0..count {
            let settlement = Request::settlement(&format!("{marker}-{number}"));
            let entry = &self.entries[number % self.entries.len()];
            let answer = settlement.ask_until_final(entry).await;
            assert!(answer.is_complete(), "{answer:?}");
            judge.take(&settlement, Some(answer));
        }
    }

    /// What all plain services have executed.
    pub async fn executions(&self) -> Vec<ServiceExecution> {
        let mut executions = Vec::new();
        for backend in &self.backends {
            executions.extend(backend.executions().await);
        }
        executions
    }

    /// Waits until all entries have at least a version of the tree in force.
    pub async fn wait_for_tree(&self, version: u64) {
        for entry in &self.entries {
            entry.wait_for_tree(version).await;
        }
    }

    async fn add_backend(&mut self, plan: BackendPlan) {
        let backend = BackendHost::start(self.folder(), plan, self.platform.address());
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

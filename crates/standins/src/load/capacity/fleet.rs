//! Entries and sidecars in child processes, connected to stand-ins in this process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::Duration;

use amaranthscale_core::version::{KeyHash, TreeEdit};
use amaranthscale_core::wire::{HostRecord, HostState};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use super::capacity_error::CapacityError;
use super::capacity_tree::capacity_tree;
use super::daemon_process::DaemonProcess;
use super::fleet_size::FleetSize;
use crate::engine::{Engine, EngineSettings};
use crate::http::{HttpClient, RunningStandin};
use crate::platform::{Platform, PlatformCounts, PlatformSettings};
use crate::relay::{Relay, RelayCounts, RelaySettings, RunningRelay};
use crate::service::{Service, ServiceSettings};

/// Bearer key of the operators.
const OPERATOR_KEY: &str = "capacity-operator";
/// Maximum number of processes; the host is shared, and at most a few hundred are required.
const MAX_PROCESSES: u32 = 290;
/// Timeout for all processes to have a version of the tree.
const IN_FORCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which a process is polled; the resolution of the times until an edit is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts that a stand-in runs at once, enough that none waits.
const SLOTS: u32 = 256;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Receives callers' requests.
    Entry,
    /// Runs in front of a backend server.
    Sidecar,
}

/// Entries and sidecars in child processes, connected to stand-ins in this process.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) size: FleetSize,
    pub(super) http: HttpClient,
    platform: RunningStandin,
    /// Relays from the entries and from the sidecars to the platform, which count the bytes on
    /// the wire.
    relays: [RunningRelay; 2],
    backends: [RunningStandin; 2],
    entries: Vec<DaemonProcess>,
    sidecars: Vec<DaemonProcess>,
    hosts: Vec<HostRecord>,
    directory: TempDir,
    binaries: PathBuf,
    tree_version: u64,
}

impl Fleet {
    /// Starts all processes and waits until they have the tree.
    pub(super) async fn start(
        size: FleetSize,
        binaries: Option<PathBuf>,
    ) -> Result<Self, CapacityError> {
        let processes = size.entries.saturating_add(size.sidecars);
        if processes > MAX_PROCESSES {
            return Err(CapacityError::TooMany(processes, MAX_PROCESSES));
        }
        let mut fleet = Self::start_standins(size, binaries).await?;
        fleet.launch_entries()?;
        // Sidecars poll the host list every 30 s only, and would know no entry until then.
        fleet.publish_hosts(0).await?;
        fleet.launch_sidecars()?;
        fleet.publish_hosts(0).await?;
        fleet.import().await?;
        Ok(fleet)
    }

    /// Processes of a role.
    pub(super) fn processes(&self, role: Role) -> &[DaemonProcess] {
        match role {
            Role::Entry => &self.entries,
            Role::Sidecar => &self.sidecars,
        }
    }

    /// URL of a path of the first entry.
    pub(super) fn entry_url(&self, path: &str) -> String {
        let address = self.entries.first().map(DaemonProcess::address);
        address.map_or_else(String::new, |address| format!("http://{address}{path}"))
    }

    /// The `/status` of a process.
    pub(super) async fn status(&self, process: &DaemonProcess) -> Result<Value, CapacityError> {
        let url = format!("http://{}/status", process.address());
        Ok(self.http.get_json(url).await?)
    }

    /// Counts of the platform stand-in.
    pub(super) async fn platform_counts(&self) -> Result<PlatformCounts, CapacityError> {
        let url = self.platform.url("/admin/counts");
        Ok(self.http.get_json(url).await?)
    }

    /// Bytes between the processes of a role and the platform, in both directions.
    pub(super) async fn wire_bytes(&self, role: Role) -> Result<u64, CapacityError> {
        let relay = &self.relays[role as usize];
        let counts: RelayCounts = self.http.get_json(relay.admin_url("/admin/counts")).await?;
        Ok(counts.to_server_bytes + counts.to_client_bytes)
    }

    /// Replaces the host list by the running hosts and `listed` hosts that don't exist.
    ///
    /// The latter are entries and sidecars in the specified ratio.
    pub(super) async fn publish_hosts(&self, listed: u32) -> Result<(), CapacityError> {
        let mut hosts = self.hosts.clone();
        for number in 0..listed {
            hosts.push(listed_host(number)?);
        }
        let body = serde_json::to_vec(&hosts)?;
        let url = self.platform.url("/admin/hosts");
        self.http.post(url, &[], body).await?.success()?;
        Ok(())
    }

    /// Changes a host's state, which gives the host list a new version.
    pub(super) async fn change_host(&self, state: HostState) -> Result<(), CapacityError> {
        let host = self.hosts.last().map(|record| &record.host);
        let body = serde_json::to_vec(&json!({"host": host, "state": state}))?;
        let url = self.platform.url("/admin/hosts/state");
        self.http.post(url, &[], body).await?.success()?;
        Ok(())
    }

    /// Makes an edit at the first entry; returns when it is accepted.
    pub(super) async fn edit(&mut self, edit: &TreeEdit) -> Result<(), CapacityError> {
        let body = json!({
            "expected_version": self.tree_version, "by": "capacity", "edit": edit,
        });
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let url = self.entry_url("/v1/operator/edits");
        let reply = self
            .http
            .post(url, &headers, serde_json::to_vec(&body)?)
            .await?;
        if !reply.status.is_success() {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(CapacityError::EditRefused(text));
        }
        self.tree_version += 1;
        Ok(())
    }

    /// Waits until every process has the last accepted edit; returns the time for each in ms.
    pub(super) async fn wait_in_force(&self) -> Result<Vec<f64>, CapacityError> {
        let started = tokio::time::Instant::now();
        let mut polls = tokio::task::JoinSet::new();
        for process in self.entries.iter().chain(&self.sidecars) {
            let url = format!("http://{}/status", process.address());
            let (http, version) = (self.http.clone(), self.tree_version);
            polls.spawn(async move {
                timeout(IN_FORCE_TIMEOUT, poll_until_version(&http, &url, version))
                    .await
                    .map(|()| started.elapsed().as_secs_f64() * 1000.0)
            });
        }
        let mut times_ms = Vec::new();
        while let Some(poll) = polls.join_next().await {
            let in_force_ms = poll.ok().and_then(Result::ok);
            times_ms
                .push(in_force_ms.ok_or(CapacityError::TimedOut("an edit in force everywhere"))?);
        }
        Ok(times_ms)
    }

    async fn start_standins(
        size: FleetSize,
        binaries: Option<PathBuf>,
    ) -> Result<Self, CapacityError> {
        let platform = Platform::start(PlatformSettings::default()).await?;
        let to_platform = || Relay::start(RelaySettings::to(platform.address()));
        let relays = [to_platform().await?, to_platform().await?];
        let engine = EngineSettings {
            slots: SLOTS,
            token_ms: 2,
            batch_penalty: 0.0,
            ..EngineSettings::default()
        };
        let service = ServiceSettings::default();
        let backends = [Service::start(service).await?, Engine::start(engine).await?];
        Ok(Self {
            size,
            http: HttpClient::new(),
            platform,
            relays,
            backends,
            entries: Vec::new(),
            sidecars: Vec::new(),
            hosts: Vec::new(),
            directory: TempDir::new()?,
            binaries: match binaries {
                Some(binaries) => binaries,
                None => executable_directory()?,
            },
            tree_version: 0,
        })
    }

    fn launch_entries(&mut self) -> Result<(), CapacityError> {
        let program = self.binaries.join("amaranth-entry");
        let mut launched = Vec::new();
        for number in 0..self.size.entries {
            let peer_listen = free_address()?;
            let settings = self.entry_settings(number, peer_listen);
            let file = self.write_settings(&format!("entry-{number}"), &settings)?;
            launched.push((DaemonProcess::launch(&program, &file)?, peer_listen));
        }
        for (number, (child, peer_listen)) in launched.into_iter().enumerate() {
            let entry = DaemonProcess::wait_until_listening(child, &program)?;
            self.hosts
                .push(host(&format!("entry-{number}"), peer_listen, None)?);
            self.entries.push(entry);
        }
        Ok(())
    }

    fn launch_sidecars(&mut self) -> Result<(), CapacityError> {
        let program = self.binaries.join("amaranth-sidecar");
        let mut launched: Vec<Child> = Vec::new();
        for number in 0..self.size.sidecars {
            let settings = self.sidecar_settings(number);
            let file = self.write_settings(&format!("sidecar-{number}"), &settings)?;
            launched.push(DaemonProcess::launch(&program, &file)?);
        }
        for (number, child) in launched.into_iter().enumerate() {
            let sidecar = DaemonProcess::wait_until_listening(child, &program)?;
            let service = service_of(u32::try_from(number).unwrap_or(u32::MAX));
            let name = format!("sidecar-{number}");
            self.hosts
                .push(host(&name, sidecar.address(), Some(service))?);
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    fn entry_settings(&self, number: u32, peer_listen: SocketAddr) -> String {
        let platform = self.relays[Role::Entry as usize].address();
        let key_hash = KeyHash::of(OPERATOR_KEY);
        let exchange_ms = self.size.exchange_ms;
        format!(
            "[entry]\nhost = entry-{number}\nregion = region-1\nzone = zone-1\n\
             peer_listen = {peer_listen}\nplatform = {platform}\n\
             [operator]\nkey_hash = {key_hash}\n\
             [tree]\nexchange_ms = {exchange_ms}\n[log]\nlevel = warn\n"
        )
    }

    fn sidecar_settings(&self, number: u32) -> String {
        let platform = self.relays[Role::Sidecar as usize].address();
        let service = service_of(number);
        let backend = self.backends[usize::from(number == 0)].address();
        let exchange_ms = self.size.exchange_ms;
        format!(
            "[sidecar]\nhost = sidecar-{number}\nregion = region-1\nzone = zone-1\n\
             service = {service}\nbackend = {backend}\nplatform = {platform}\n\
             [queue]\nslots = {SLOTS}\ncapacity = 10000\n\
             [tree]\nexchange_ms = {exchange_ms}\n[log]\nlevel = warn\n"
        )
    }

    fn write_settings(&self, name: &str, settings: &str) -> Result<PathBuf, CapacityError> {
        let file = self.directory.path().join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        Ok(file)
    }

    /// Imports the tree when the first entry is ready, having found that there is none.
    async fn import(&mut self) -> Result<(), CapacityError> {
        self.wait_in_force().await?;
        let tree = capacity_tree(self.size.organisations)?;
        let ready_url = self.entry_url("/readyz");
        while !self.http.get(&ready_url).await?.status.is_success() {
            sleep(POLL_INTERVAL).await;
        }
        let edit = TreeEdit::Import {
            tree: Box::new(tree),
        };
        self.edit(&edit).await?;
        self.wait_in_force().await?;
        Ok(())
    }
}

/// The first sidecar is in front of the engine, all others in front of the plain service.
const fn service_of(number: u32) -> &'static str {
    if number == 0 { "generator" } else { "work" }
}

async fn poll_until_version(http: &HttpClient, url: &str, version: u64) {
    loop {
        if let Ok(status) = http.get_json::<Value>(url).await {
            let reported = status["tree_version"].as_u64();
            let reported = reported.or_else(|| status["tree"]["version"].as_u64());
            if reported.is_some_and(|reported| reported >= version) {
                return;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn host(
    name: &str,
    address: SocketAddr,
    service: Option<&str>,
) -> Result<HostRecord, CapacityError> {
    Ok(HostRecord {
        host: name.parse()?,
        address,
        region: "region-1".parse()?,
        zone: "zone-1".parse()?,
        service: service.map(str::parse).transpose()?,
        state: HostState::Live,
    })
}

/// A listed host that doesn't run: 11 of 30 are entries, as 380 of 1,040 are.
fn listed_host(number: u32) -> Result<HostRecord, CapacityError> {
    let is_entry = number % 30 < 11;
    // No process listens at port 1, so a connection is refused at once.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let name = format!("listed-host-{number:04}");
    host(&name, address, (!is_entry).then_some("listed"))
}

fn free_address() -> Result<SocketAddr, CapacityError> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?)
}

fn executable_directory() -> Result<PathBuf, CapacityError> {
    let own = std::env::current_exe()?;
    Ok(own.parent().map_or_else(PathBuf::new, Path::to_path_buf))
}

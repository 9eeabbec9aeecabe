//! The stand-in platform as a child process.

use std::net::SocketAddr;

use amaranthscale_core::wire::{HostList, HostRecord, HostState, Row};
use amaranthscale_standins::http::{HttpClient, percent_encode};
use amaranthscale_standins::platform::{PlatformCounts, PlatformFaults};
use serde_json::json;

use super::{ChildProcess, set_faults};

/// The stand-in platform as a child process.
#[derive(Debug)]
pub struct PlatformProcess {
    process: ChildProcess,
    http: HttpClient,
}

impl PlatformProcess {
    /// Starts a platform without hosts and rows.
    pub fn start() -> Self {
        let program = env!("CARGO_BIN_EXE_standin-platform");
        let process = ChildProcess::start(program, ["--listen", "127.0.0.1:0"]);
        Self {
            process: process.expect("the platform starts"),
            http: HttpClient::new(),
        }
    }

    /// Address of its HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Sets faults.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        set_faults(&self.http, self.process.url("/admin/faults"), &faults).await;
    }

    /// Makes all calls fail, or serves them again.
    pub async fn set_outage(&self, is_unavailable: bool) {
        let outage = Some(is_unavailable);
        self.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        })
        .await;
    }

    /// Makes only calls of table and objects fail, or serves them again.
    pub async fn set_table_outage(&self, is_unavailable: bool) {
        let table_outage = Some(is_unavailable);
        self.set_faults(PlatformFaults {
            table_outage,
            ..PlatformFaults::default()
        })
        .await;
    }

    /// Adds a host to the host list, or replaces it.
    pub async fn put_host(&self, host: &str, address: SocketAddr, service: Option<&str>) {
        self.put_host_in("north-yard", host, address, service).await;
    }

    /// Adds a host of an availability zone to the host list, or replaces it.
    pub async fn put_host_in(
        &self,
        zone: &str,
        host: &str,
        address: SocketAddr,
        service: Option<&str>,
    ) {
        let name = |name: &str| name.parse().expect("a name");
        let record = HostRecord {
            host: host.parse().expect("a name"),
            address,
            region: "delta-south".parse().expect("a name"),
            zone: zone.parse().expect("a name"),
            service: service.map(name),
            state: HostState::Live,
        };
        set_faults(&self.http, self.process.url("/admin/hosts/put"), &record).await;
    }

    /// Marks a host as leaving.
    pub async fn set_leaving(&self, host: &str) {
        let change = json!({"host": host, "state": "leaving"});
        set_faults(&self.http, self.process.url("/admin/hosts/state"), &change).await;
    }

    /// Version of the host list.
    pub async fn host_list_version(&self) -> u64 {
        let hosts: HostList = self.get("/hosts").await;
        hosts.version
    }

    /// Number of hosts in the host list.
    pub async fn host_count(&self) -> usize {
        let hosts: HostList = self.get("/hosts").await;
        hosts.hosts.len()
    }

    /// Reads a row of the table.
    pub async fn row(&self, key: &str) -> Row {
        self.get(&format!("/table/row?key={}", percent_encode(key)))
            .await
    }

    /// The platform's counts; faults do not affect this call.
    pub async fn counts(&self) -> PlatformCounts {
        self.get("/admin/counts").await
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let answer = self.http.get_json(self.process.url(path)).await;
        answer.expect("the platform answers")
    }
}

//! A connection relay as a child process.

use std::net::SocketAddr;

use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::relay::{RelayCounts, RelayFaults};

use super::{ChildProcess, set_faults};

/// A connection relay as a child process.
#[derive(Debug)]
pub struct RelayProcess {
    process: ChildProcess,
    admin: SocketAddr,
    http: HttpClient,
}

impl RelayProcess {
    /// Starts a relay that forwards to an address.
    pub fn start(to: SocketAddr) -> Self {
        let program = env!("CARGO_BIN_EXE_standin-relay");
        let process = ChildProcess::start(program, ["--to", &to.to_string()]);
        let process = process.expect("the relay starts");
        let admin = process.wait_for_address("admin ");
        Self {
            admin: admin.expect("the relay prints its admin address"),
            process,
            http: HttpClient::new(),
        }
    }

    /// Address at which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Stops forwarding on all open connections without closing them; returns their number.
    pub async fn silence_open(&self) -> u64 {
        let before = self.counts().await.silenced;
        let silence_open = Some(true);
        self.set_faults(RelayFaults {
            silence_open,
            ..RelayFaults::default()
        })
        .await;
        self.counts().await.silenced - before
    }

    /// Closes all open connections at both ends; returns their number.
    pub async fn cut_open(&self) -> u64 {
        let before = self.counts().await.cut;
        let cut_open = Some(true);
        self.set_faults(RelayFaults {
            cut_open,
            ..RelayFaults::default()
        })
        .await;
        self.counts().await.cut - before
    }

    /// The relay's counts.
    pub async fn counts(&self) -> RelayCounts {
        let url = format!("http://{}/admin/counts", self.admin);
        self.http.get_json(url).await.expect("the relay answers")
    }

    async fn set_faults(&self, faults: RelayFaults) {
        let url = format!("http://{}/admin/faults", self.admin);
        set_faults(&self.http, url, &faults).await;
    }
}

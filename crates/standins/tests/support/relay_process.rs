//! A relay of connections as a process.

use std::net::SocketAddr;

use amaranthscale_standins::http::HttpClient;
use amaranthscale_standins::relay::{RelayCounts, RelayFaults};

use super::{ChildProcess, switch};

/// A relay of connections as a process.
#[derive(Debug)]
pub struct RelayProcess {
    process: ChildProcess,
    admin: SocketAddr,
    http: HttpClient,
}

impl RelayProcess {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr) -> Self {
        let program = env!("CARGO_BIN_EXE_standin-relay");
        let process = ChildProcess::start(program, ["--to", &to.to_string()]);
        let process = process.expect("the relay starts");
        let admin = process.wait_for_address("admin ");
        Self {
            admin: admin.expect("the relay tells where to switch it"),
            process,
            http: HttpClient::new(),
        }
    }

    /// Address at which it relays.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Silences all connections that are open now; tells how many.
    pub async fn silence_open(&self) -> u64 {
        let before = self.counts().await.silenced;
        let silence_open = Some(true);
        self.switch(RelayFaults {
            silence_open,
            ..RelayFaults::default()
        })
        .await;
        self.counts().await.silenced - before
    }

    /// Cuts all connections that are open now; tells how many.
    pub async fn cut_open(&self) -> u64 {
        let before = self.counts().await.cut;
        let cut_open = Some(true);
        self.switch(RelayFaults {
            cut_open,
            ..RelayFaults::default()
        })
        .await;
        self.counts().await.cut - before
    }

    /// What it has counted.
    pub async fn counts(&self) -> RelayCounts {
        let url = format!("http://{}/admin/counts", self.admin);
        self.http.get_json(url).await.expect("the relay answers")
    }

    async fn switch(&self, faults: RelayFaults) {
        let url = format!("http://{}/admin/faults", self.admin);
        switch(&self.http, url, &faults).await;
    }
}

//! An entry as a process.

use std::net::SocketAddr;
use std::path::Path;

use amaranthscale_standins::http::{HttpClient, HttpReply};
use hyper::Method;
use serde_json::Value;

use super::request::{bearer, edit};
use super::settings_file::start_daemon;
use super::{ChildProcess, OPERATOR_KEY, wait_until};

/// Hash of the operators' key of Delta Basin, as in its example settings.
const OPERATOR_KEY_HASH: &str = "95117a74cab02a2f0185e0a50017c245424802582b973f8aae071da2f0eadefb";

/// An entry as a process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The process, for signals.
    pub process: ChildProcess,
    host: String,
    peers: SocketAddr,
    http: HttpClient,
}

impl EntryProcess {
    /// Starts an entry; it is ready once it has a tree.
    pub fn start(folder: &Path, host: &str, platform: SocketAddr, more: &str) -> Self {
        let settings = format!(
            "[entry]\nhost = {host}\nregion = delta-south\nzone = north-yard\n\
             platform = {platform}\n[operator]\nkey_hash = {OPERATOR_KEY_HASH}\n\
             [log]\nlevel = error\n{more}"
        );
        let process = start_daemon("amaranth-entry", folder, host, &settings);
        let peers = process.wait_for_address("peers ");
        Self {
            host: host.to_owned(),
            peers: peers.expect("an entry tells its address for peers"),
            process,
            http: HttpClient::new(),
        }
    }

    /// Name of its host.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Address for the system's other processes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// URL of a path for callers and operators.
    pub fn url(&self, path: &str) -> String {
        self.process.url(path)
    }

    /// What it tells of itself.
    pub async fn status(&self) -> Value {
        let status = self.http.get_json(self.url("/status")).await;
        status.expect("an entry tells its status")
    }

    /// A counter of its own, 0 if it never counted.
    pub async fn counter(&self, name: &str) -> u64 {
        self.status().await["counters"][name].as_u64().unwrap_or(0)
    }

    /// Waits until a counter of its own has reached a number.
    pub async fn wait_for_counter(&self, name: &str, least: u64) {
        let awaited = format!("{} counts {least} of {name}", self.host);
        wait_until(&awaited, async || self.counter(name).await >= least).await;
    }

    /// Version of the settings tree that it has in force.
    pub async fn tree_version(&self) -> u64 {
        let status = self.status().await;
        status["tree"]["version"].as_u64().expect("a version")
    }

    /// Whether it may take requests.
    pub async fn is_ready(&self) -> bool {
        let answer = self.http.get(self.url("/readyz")).await;
        answer
            .expect("an entry tells its state")
            .status
            .is_success()
    }

    /// Waits until it is ready by at least a version of the tree.
    pub async fn wait_for_tree(&self, version: u64) {
        let awaited = format!("{} has version {version}", self.host);
        wait_until(&awaited, async || {
            self.is_ready().await && self.tree_version().await >= version
        })
        .await;
    }

    /// Waits until it has heard of so many hosts.
    pub async fn wait_for_hosts(&self, count: usize) {
        let awaited = format!("{} knows {count} hosts", self.host);
        wait_until(&awaited, async || {
            self.status().await["decisions"]["hosts"].as_u64() == Some(count as u64)
        })
        .await;
    }

    /// The settings tree that it has in force.
    pub async fn tree(&self) -> Value {
        let key = bearer(OPERATOR_KEY);
        let headers = [("authorization", key.as_str())];
        let url = self.url("/v1/operator/tree");
        let reply = self.http.send(Method::GET, url, &headers, "").await;
        let reply = reply.expect("an entry answers its operator");
        reply.json().expect("a tree in JSON")
    }

    /// Waits until it uses at least a version of the host list.
    pub async fn wait_for_host_list(&self, version: u64) {
        let awaited = format!("{} uses host list {version}", self.host);
        wait_until(&awaited, async || {
            let status = self.status().await;
            status["decisions"]["host_list_version"].as_u64() >= Some(version)
        })
        .await;
    }

    /// Makes an operator's edit against a version.
    pub async fn edit(&self, expected_version: u64, by: &str, change: &Value) -> HttpReply {
        let body = edit(expected_version, by, change).to_string();
        let key = bearer(OPERATOR_KEY);
        let headers = [("authorization", key.as_str())];
        let url = self.url("/v1/operator/edits");
        let reply = HttpClient::new().post(url, &headers, body).await;
        reply.expect("an entry answers its operator")
    }
}

//! An entry as a child process.

use std::net::SocketAddr;
use std::path::Path;

use amaranthscale_standins::http::{HttpClient, HttpReply};
use hyper::Method;
use serde_json::Value;

use super::request::{bearer, edit};
use super::settings_file::start_daemon;
use super::{ChildProcess, OPERATOR_KEY, wait_until};

/// Hash of Delta Basin's operator key, as in its example settings.
const OPERATOR_KEY_HASH: &str = "95117a74cab02a2f0185e0a50017c245424802582b973f8aae071da2f0eadefb";

/// An entry as a child process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The process, for signals.
    pub process: ChildProcess,
    host: String,
    peer_address: SocketAddr,
    http: HttpClient,
}

impl EntryProcess {
    /// Starts an entry; it becomes ready once it has a settings tree.
    pub fn start(
        settings_dir: &Path,
        host: &str,
        platform: SocketAddr,
        extra_settings: &str,
    ) -> Self {
        let settings = format!(
            "[entry]\nhost = {host}\nregion = delta-south\nzone = north-yard\n\
             platform = {platform}\n[operator]\nkey_hash = {OPERATOR_KEY_HASH}\n\
             [log]\nlevel = error\n{extra_settings}"
        );
        let process = start_daemon("amaranth-entry", settings_dir, host, &settings);
        let peer_address = process.wait_for_address("peers ");
        Self {
            host: host.to_owned(),
            peer_address: peer_address.expect("an entry prints its peer address"),
            process,
            http: HttpClient::new(),
        }
    }

    /// Name of the entry's host.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Address at which other entries and sidecars reach the entry.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// URL of a path at the address for callers and operators.
    pub fn url(&self, path: &str) -> String {
        self.process.url(path)
    }

    /// The entry's `/status`.
    pub async fn status(&self) -> Value {
        let status = self.http.get_json(self.url("/status")).await;
        status.expect("an entry reports its status")
    }

    /// A counter of the entry; 0 if it was never incremented.
    pub async fn counter(&self, name: &str) -> u64 {
        self.status().await["counters"][name].as_u64().unwrap_or(0)
    }

    /// Waits until a counter of the entry is at least `minimum`.
    pub async fn wait_for_counter(&self, name: &str, minimum: u64) {
        let condition = format!("{} counts at least {minimum} of {name}", self.host);
        wait_until(&condition, async || self.counter(name).await >= minimum).await;
    }

    /// Version of the settings tree in force at the entry.
    pub async fn tree_version(&self) -> u64 {
        let status = self.status().await;
        status["tree"]["version"].as_u64().expect("a version")
    }

    /// Whether the entry reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = self.http.get(self.url("/readyz")).await;
        answer
            .expect("an entry reports its readiness")
            .status
            .is_success()
    }

    /// Waits until the entry is ready with at least this version of the settings tree.
    pub async fn wait_for_tree(&self, version: u64) {
        let condition = format!("{} has version {version} of the tree", self.host);
        wait_until(&condition, async || {
            self.is_ready().await && self.tree_version().await >= version
        })
        .await;
    }

    /// Waits until the entry has exactly `count` hosts in its host list.
    pub async fn wait_for_hosts(&self, count: usize) {
        let condition = format!("{} knows {count} hosts", self.host);
        wait_until(&condition, async || {
            self.status().await["decisions"]["hosts"].as_u64() == Some(count as u64)
        })
        .await;
    }

    /// The settings tree in force at the entry.
    pub async fn tree(&self) -> Value {
        let key = bearer(OPERATOR_KEY);
        let headers = [("authorization", key.as_str())];
        let url = self.url("/v1/operator/tree");
        let reply = self.http.send(Method::GET, url, &headers, "").await;
        let reply = reply.expect("an entry answers its operator");
        reply.json().expect("a tree in JSON")
    }

    /// Waits until the entry uses at least this version of the host list.
    pub async fn wait_for_host_list(&self, version: u64) {
        let condition = format!("{} uses host list {version}", self.host);
        wait_until(&condition, async || {
            let status = self.status().await;
            status["decisions"]["host_list_version"].as_u64() >= Some(version)
        })
        .await;
    }

    /// Submits an operator's edit of the given version of the tree.
    pub async fn edit(&self, expected_version: u64, by: &str, change: &Value) -> HttpReply {
        let body = edit(expected_version, by, change).to_string();
        let key = bearer(OPERATOR_KEY);
        let headers = [("authorization", key.as_str())];
        let url = self.url("/v1/operator/edits");
        let reply = HttpClient::new().post(url, &headers, body).await;
        reply.expect("an entry answers its operator")
    }
}

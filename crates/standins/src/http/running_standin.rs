//! A server within this process.

use std::net::SocketAddr;

use tokio::task::JoinHandle;

use crate::http::StopSignal;

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct RunningStandin {
    address: SocketAddr,
    stop: StopSignal,
    task: JoinHandle<()>,
}

impl RunningStandin {
    /// Address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL of a path on it.
    #[must_use]
    pub fn url(&self, path: impl AsRef<str>) -> String {
        format!("http://{}{}", self.address, path.as_ref())
    }

    /// Stops at once: closes all connections and frees the port.
    pub async fn stop(mut self) {
        self.stop.stop();
        self.wait_until_stopped().await;
    }

    /// Waits until it has stopped, for any reason.
    pub async fn wait_until_stopped(&mut self) {
        // An error means that the task panicked or was aborted; in both cases it has ended.
        let _ = (&mut self.task).await;
    }

    pub(crate) fn new(address: SocketAddr, stop: StopSignal, task: JoinHandle<()>) -> Self {
        Self {
            address,
            stop,
            task,
        }
    }
}

impl Drop for RunningStandin {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

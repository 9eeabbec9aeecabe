//! A server that runs within this process.

use std::net::SocketAddr;

use tokio::task::JoinHandle;

use crate::http::StopSignal;

/// A stand-in that runs; dropping it stops it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    stop: StopSignal,
    task: JoinHandle<()>,
}

impl Running {
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

    /// Stops at once: cuts all connections and frees the port.
    pub async fn stop(mut self) {
        self.stop.stop();
        self.ended().await;
    }

    /// Waits until it has stopped, by whatever cause.
    pub async fn ended(&mut self) {
        // An error would mean that the task panicked or was aborted; either way it has ended.
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

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

//! Signals that ask a daemon to stop.

use std::io;

use log::info;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listens for requests to stop.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Installs handlers for the signals of this process.
    pub fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    /// Waits for the next signal; the first starts a graceful stop, the second ends it.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => info!("process: asked to stop"),
            _ = self.interrupt.recv() => info!("process: interrupted"),
        }
    }
}

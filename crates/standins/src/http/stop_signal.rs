//! Tells a server to stop.

use std::sync::Arc;

use tokio::sync::watch;

/// Stops one server, from anywhere, once.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal {
    stopped: Arc<watch::Sender<bool>>,
}

impl StopSignal {
    /// A signal not yet given.
    pub(crate) fn new() -> Self {
        let (stopped, _) = watch::channel(false);
        Self {
            stopped: Arc::new(stopped),
        }
    }

    /// Gives the signal.
    pub(crate) fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Waits for the signal.
    pub(crate) async fn stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        // The sender lives as long as `self`, so this cannot fail.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

//! Signal that stops a server.

use std::sync::Arc;

use tokio::sync::watch;

/// One-time signal that stops a server; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal {
    stopped: Arc<watch::Sender<bool>>,
}

impl StopSignal {
    /// A signal that was not sent yet.
    pub(crate) fn new() -> Self {
        let (stopped, _) = watch::channel(false);
        Self {
            stopped: Arc::new(stopped),
        }
    }

    /// Sends the signal.
    pub(crate) fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Waits for the signal.
    pub(crate) async fn stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        // `self` owns the sender, so this cannot fail.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}

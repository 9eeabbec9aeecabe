//! A paused clock that only the test advances.

use std::sync::mpsc;
use std::time::Duration;

/// Prevents a paused clock from advancing by itself while the runtime is idle.
///
/// The runtime does not advance a paused clock while a blocking task runs, so one runs until this
/// is dropped. Otherwise timeouts would fire while answers are still in transit.
#[derive(Debug)]
pub struct ManualClock {
    _release: mpsc::Sender<()>,
}

impl ManualClock {
    /// Disables automatic advancing in a test that started with a paused clock.
    pub fn install() -> Self {
        let (release, released) = mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || {
            // Returns an error once the sender is dropped.
            let _ = released.recv();
        });
        Self { _release: release }
    }

    /// Advances the clock.
    pub async fn advance_ms(&self, time_ms: u64) {
        tokio::time::advance(Duration::from_millis(time_ms)).await;
    }
}

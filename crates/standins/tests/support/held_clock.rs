//! A clock that stands still until the test moves it.

use std::sync::mpsc;
use std::time::Duration;

/// Keeps a paused clock from moving on by itself while the runtime is idle.
///
/// The runtime does not advance a paused clock while a blocking task runs, so one runs until this
/// is dropped. Without it, the clock would leap over answers that are still on their way.
#[derive(Debug)]
pub struct HeldClock {
    _release: mpsc::Sender<()>,
}

impl HeldClock {
    /// Holds the clock of a test that started paused.
    pub fn hold() -> Self {
        let (release, released) = mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || {
            // Ends with an error as the sender is dropped, which is the signal.
            let _ = released.recv();
        });
        Self { _release: release }
    }

    /// Moves the clock.
    pub async fn advance_ms(&self, time_ms: u64) {
        tokio::time::advance(Duration::from_millis(time_ms)).await;
    }
}

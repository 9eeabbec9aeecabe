//! Waits on events that take time.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// Bound after which an awaited event counts as not coming; generous, since tests share a machine.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Repeats a check until it holds; fails the test after a generous bound.
pub async fn wait_until(awaited: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            sleep(CHECK_PAUSE).await;
        }
    };
    let waited = timeout(WAIT_LIMIT, waiting).await;
    waited.unwrap_or_else(|_elapsed| panic!("did not happen: {awaited}"));
}

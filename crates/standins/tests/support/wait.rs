//! Waits for conditions, with a timeout.

use std::time::Duration;

use tokio::time::{sleep, timeout};

/// Timeout of each wait; long, as tests may run on a busy host.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Delay between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Repeats a check until it holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(condition: &str, mut check: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !check().await {
            sleep(CHECK_INTERVAL).await;
        }
    };
    let waited = timeout(WAIT_TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_elapsed| panic!("did not happen: {condition}"));
}

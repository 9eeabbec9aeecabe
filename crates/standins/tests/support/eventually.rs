//! Waits on events.

/// Checks after which an awaited event counts as not coming.
const MAX_CHECKS: u32 = 20_000;
/// Round trips that give a call ample occasion to be answered, if it ever will be.
const SETTLE_ROUND_TRIPS: u32 = 50;

/// Repeats a check, each a round trip to a server, until it holds.
pub async fn eventually(awaited: &str, mut check: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if check().await {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("did not happen: {awaited}");
}

/// Makes so many round trips to a server that a call sent before would have been answered.
pub async fn settle<T>(mut round_trip: impl AsyncFnMut() -> T) {
    for _ in 0..SETTLE_ROUND_TRIPS {
        let _answer = round_trip().await;
        tokio::task::yield_now().await;
    }
}

//! Waits on events.

use std::time::Duration;

use tokio::task::JoinHandle;

/// Checks after which an awaited event counts as not coming.
const MAX_CHECKS: u32 = 20_000;
/// Round trips that give a call ample occasion to be answered, if it ever will be.
const SETTLE_ROUND_TRIPS: u32 = 50;

/// Bound on the wait for a task; generous, since tests share a busy machine.
const JOIN_LIMIT: Duration = Duration::from_mins(1);

/// Waits for a task, but not for ever; for tests whose clock is not paused.
pub async fn joined<T>(task: JoinHandle<T>) -> T {
    let joined = tokio::time::timeout(JOIN_LIMIT, task).await;
    joined
        .expect("the task ends")
        .expect("the task does not panic")
}

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

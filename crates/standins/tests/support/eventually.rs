//! Waits for conditions by round trips instead of time, and for tasks with a timeout.

use std::time::Duration;

use tokio::task::JoinHandle;

/// Checks after which a wait for a condition fails.
const MAX_CHECKS: u32 = 20_000;
/// Round trips within which an earlier call is answered, if it is answered at all.
const ROUND_TRIPS: u32 = 50;

/// Timeout of the wait for a task; long, as tests may run on a busy host.
const JOIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Joins a task, with a timeout; for tests whose clock is not paused.
pub async fn join_task<T>(task: JoinHandle<T>) -> T {
    let joined = tokio::time::timeout(JOIN_TIMEOUT, task).await;
    joined
        .expect("the task ends")
        .expect("the task does not panic")
}

/// Repeats a check, which makes a round trip to a server, until it holds.
pub async fn eventually(condition: &str, mut check: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if check().await {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("did not happen: {condition}");
}

/// Makes enough round trips to a server that an earlier call would have been answered.
pub async fn run_round_trips<T>(mut round_trip: impl AsyncFnMut() -> T) {
    for _ in 0..ROUND_TRIPS {
        let _answer = round_trip().await;
        tokio::task::yield_now().await;
    }
}

//! Drives a conditional write until the table has settled it.

use std::time::Duration;

use amaranthscale_core::id::WriteId;
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use log::debug;
use tokio::time::{Instant, sleep, timeout_at};
use uuid::Uuid;

use super::{PlatformClient, PlatformError};

/// First pause after an answer that did not come.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between tries, so that a table that is back is found within seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A new id for one conditional write.
///
/// # Panics
///
/// Never: a UUID is a valid name.
#[must_use]
pub fn new_write_id() -> WriteId {
    WriteId::new(Uuid::new_v4().to_string()).expect("a UUID is a valid name")
}

/// Sends a write, reads back and repeats as the write asks, until it is settled or time is up.
///
/// Returns the last step: one that is not settled means that the write may still take effect.
pub async fn settle(
    platform: &PlatformClient,
    write: &mut ConditionalWrite,
    until: Instant,
) -> WriteStep {
    let mut pause = FIRST_PAUSE;
    let mut step = WriteStep::Send;
    while !step.is_settled() && Instant::now() < until {
        let event = match timeout_at(until, perform(platform, write, &step)).await {
            Ok(event) => event,
            Err(_elapsed) => lost(&step),
        };
        let is_lost = matches!(event, WriteEvent::Lost | WriteEvent::ReadLost);
        step = write.next(event);
        if is_lost {
            let wake = until.min(Instant::now() + pause);
            sleep(wake.saturating_duration_since(Instant::now())).await;
            pause = LONGEST_PAUSE.min(pause * 2);
        }
    }
    step
}

async fn perform(
    platform: &PlatformClient,
    write: &ConditionalWrite,
    step: &WriteStep,
) -> WriteEvent {
    let performed = match step {
        WriteStep::ReadBack => platform.row(write.key()).await.map(WriteEvent::ReadBack),
        _ => platform
            .transact(&write.transaction())
            .await
            .map(WriteEvent::Replied),
    };
    performed.unwrap_or_else(|error: PlatformError| {
        debug!("table: {} got no answer: {error}", write.key());
        lost(step)
    })
}

const fn lost(step: &WriteStep) -> WriteEvent {
    match step {
        WriteStep::ReadBack => WriteEvent::ReadLost,
        _ => WriteEvent::Lost,
    }
}

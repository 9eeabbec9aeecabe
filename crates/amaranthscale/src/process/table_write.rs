//! Drives one conditional write against the platform's table until it is settled.

use std::time::Duration;

use amaranthscale_core::id::WriteId;
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use log::debug;
use tokio::time::{Instant, timeout_at};

use super::{PlatformClient, PlatformError};

/// First pause after a failed call; a table under load must not be called in a tight loop.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
/// Longest pause, so that writes are settled soon after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Drives one conditional write until it is settled.
///
/// The future of [`TableWrite::settle`] may be dropped at any time: [`TableWrite::may_take_effect`]
/// then shows whether the write can still take effect.
#[derive(Debug)]
pub struct TableWrite {
    write: ConditionalWrite,
    may_take_effect: bool,
    pause: Duration,
}

impl TableWrite {
    /// Prepares a write that has not been sent.
    #[must_use]
    pub const fn new(write: ConditionalWrite) -> Self {
        Self {
            write,
            may_take_effect: false,
            pause: FIRST_BACKOFF,
        }
    }

    /// Whether the write has taken effect or still may.
    #[must_use]
    pub const fn may_take_effect(&self) -> bool {
        self.may_take_effect
    }

    /// Settles the write; none if the deadline passes first.
    pub async fn settle_until(
        &mut self,
        platform: &PlatformClient,
        deadline: Instant,
    ) -> Option<WriteStep> {
        timeout_at(deadline, self.settle(platform)).await.ok()
    }

    /// Sends the write, reads the row back and retries until the write is settled.
    pub async fn settle(&mut self, platform: &PlatformClient) -> WriteStep {
        let mut step = WriteStep::Send;
        while !step.is_settled() {
            step = match step {
                WriteStep::Send => self.send(platform).await,
                _ => self.read(platform).await,
            };
        }
        step
    }

    async fn send(&mut self, platform: &PlatformClient) -> WriteStep {
        let before = std::mem::replace(&mut self.may_take_effect, true);
        match platform.transact(&self.write.transaction()).await {
            Ok(reply) => self.write.next(WriteEvent::Replied(reply)),
            Err(PlatformError::Refused(status)) => {
                debug!("table: write refused with status {status}");
                self.may_take_effect = before;
                self.pause().await;
                WriteStep::Send
            }
            // An answer that cannot be parsed counts as lost: the write may have taken effect.
            Err(error) => {
                debug!("table: write not settled: {error}");
                self.pause().await;
                self.write.next(WriteEvent::Lost)
            }
        }
    }

    async fn read(&mut self, platform: &PlatformClient) -> WriteStep {
        match platform.row(self.write.key()).await {
            Ok(row) => self.write.next(WriteEvent::ReadBack(row)),
            Err(error) => {
                debug!("table: row not read: {error}");
                self.pause().await;
                self.write.next(WriteEvent::ReadLost)
            }
        }
    }

    async fn pause(&mut self) {
        // Jitter keeps processes from retrying in step when the table is back.
        let pause = self.pause.mul_f64(rand::random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(MAX_BACKOFF);
        tokio::time::sleep(pause).await;
    }
}

/// A new id for one conditional write.
///
/// # Panics
///
/// Never: a UUID is a valid name.
#[must_use]
pub fn new_write_id() -> WriteId {
    // A UUID is within the accepted length and characters, so this cannot fail.
    WriteId::new(uuid::Uuid::new_v4().to_string()).expect("a UUID is a name")
}

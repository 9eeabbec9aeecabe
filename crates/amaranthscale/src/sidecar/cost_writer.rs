//! Writes the cost of attempts to the platform's table.

use std::time::Duration;

use amaranthscale_core::wire::{RowWrite, Transaction};
use log::debug;
use ractor::{ActorRef, call};
use tokio::sync::Mutex;

use super::scheduler::SchedulerMessage;
use crate::process::PlatformClient;

/// Mean rate of bytes for cost rows, out of 3 kB/s for all control traffic of a host.
///
/// A sidecar that serves a thousand organisations changes hundreds of rows between two writes,
/// which exceeded the whole limit at a fixed interval. With a higher rate less cost is lost when a
/// host fails.
const ROW_BYTES_PER_SECOND: u32 = 1000;
/// Longest time between two writes; limits the cost that is lost when a host fails.
const MAX_INTERVAL: Duration = Duration::from_mins(10);
/// Attempts of the write at a graceful stop.
const FINAL_ATTEMPTS: u32 = 3;

/// Writes the cost of attempts to the platform's table.
///
/// Rows contain absolute totals of this incarnation, so a write whose reply was lost can be
/// repeated with newer totals.
#[derive(Debug)]
pub(super) struct CostWriter {
    scheduler: ActorRef<SchedulerMessage>,
    platform: PlatformClient,
    /// Rows whose write is not confirmed.
    unwritten: Mutex<Vec<RowWrite>>,
}

impl CostWriter {
    pub(super) fn new(scheduler: ActorRef<SchedulerMessage>, platform: PlatformClient) -> Self {
        Self {
            scheduler,
            platform,
            unwritten: Mutex::new(Vec::new()),
        }
    }

    /// Writes changed totals periodically.
    pub(super) async fn run(self: std::sync::Arc<Self>, interval: Duration) {
        let mut delay = interval;
        loop {
            // Jitter spreads the writes of sidecars that were started together.
            tokio::time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
            delay = interval.max(self.write_once().await.delay());
        }
    }

    /// Writes the last totals before a stop.
    pub(super) async fn write_final(&self) {
        for _attempt in 0..FINAL_ATTEMPTS {
            if self.write_once().await.is_written {
                return;
            }
        }
    }

    /// Writes the totals if they have changed.
    async fn write_once(&self) -> WriteReport {
        let mut unwritten = self.unwritten.lock().await;
        if let Ok(changed) = call!(self.scheduler, SchedulerMessage::CostRows)
            && !changed.is_empty()
        {
            *unwritten = changed;
        }
        if unwritten.is_empty() {
            return WriteReport::default();
        }
        let transaction = Transaction {
            checks: Vec::new(),
            writes: unwritten.clone(),
        };
        let length_bytes = length_bytes(&transaction.writes);
        if let Err(error) = self.platform.transact(&transaction).await {
            debug!("sidecar: costs not written, retrying later: {error}");
            let is_written = false;
            return WriteReport {
                is_written,
                length_bytes,
            };
        }
        unwritten.clear();
        let is_written = true;
        WriteReport {
            is_written,
            length_bytes,
        }
    }
}

/// Outcome of one write.
#[derive(Debug, Clone, Copy)]
struct WriteReport {
    /// Whether no unwritten rows remain.
    is_written: bool,
    /// Total length of the rows that were sent.
    length_bytes: usize,
}

impl WriteReport {
    /// Time until the next write that keeps the mean rate within its limit.
    fn delay(self) -> Duration {
        if !self.is_written {
            return Duration::ZERO;
        }
        let length_bytes = u32::try_from(self.length_bytes).unwrap_or(u32::MAX);
        // The reply contains the rows again, so each byte counts twice.
        let delay = Duration::from_secs(1) * length_bytes.saturating_mul(2) / ROW_BYTES_PER_SECOND;
        delay.min(MAX_INTERVAL)
    }
}

impl Default for WriteReport {
    fn default() -> Self {
        Self {
            is_written: true,
            length_bytes: 0,
        }
    }
}

fn length_bytes(rows: &[RowWrite]) -> usize {
    rows.iter().map(|row| row.key.len() + row.value.len()).sum()
}

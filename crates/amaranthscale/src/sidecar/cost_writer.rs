//! Writes what attempts cost into the platform's table.

use std::time::Duration;

use amaranthscale_core::wire::{RowWrite, Transaction};
use log::debug;
use ractor::{ActorRef, call};
use tokio::sync::Mutex;

use super::gate::GateMessage;
use crate::process::PlatformClient;

/// Bytes of rows a second, on a mean, that costs may take of a node's 3 kB/s for all of control.
///
/// A sidecar that serves a thousand organisations changes hundreds of rows between two writes; at
/// a fixed interval they took more than the whole of that bound. More bytes here mean that costs
/// of a host that dies are known up to a later time.
const ROW_BYTES_PER_SECOND: u32 = 1000;
/// Longest time between two writes, so that what a dying host had not written stays small.
const LONGEST_INTERVAL: Duration = Duration::from_mins(10);
/// Tries of the write at a graceful stop.
const LAST_TRIES: u32 = 3;

/// Writes what attempts cost into the platform's table.
///
/// The rows hold absolute totals of this life, so that a write whose answer was lost is simply
/// written again with the next totals.
#[derive(Debug)]
pub(super) struct CostWriter {
    gate: ActorRef<GateMessage>,
    platform: PlatformClient,
    /// Rows that are not known to be written.
    unwritten: Mutex<Vec<RowWrite>>,
}

impl CostWriter {
    pub(super) fn new(gate: ActorRef<GateMessage>, platform: PlatformClient) -> Self {
        Self {
            gate,
            platform,
            unwritten: Mutex::new(Vec::new()),
        }
    }

    /// Writes changed totals again and again.
    pub(super) async fn run(self: std::sync::Arc<Self>, interval: Duration) {
        let mut pause = interval;
        loop {
            // Jitter keeps a fleet that was started together from writing together.
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.75..1.25))).await;
            pause = interval.max(self.write_once().await.pause());
        }
    }

    /// Writes the last totals before a stop.
    pub(super) async fn write(&self) {
        for _try in 0..LAST_TRIES {
            if self.write_once().await.is_written {
                return;
            }
        }
    }

    /// Writes the totals if they changed.
    async fn write_once(&self) -> Written {
        let mut unwritten = self.unwritten.lock().await;
        if let Ok(changed) = call!(self.gate, GateMessage::Costs)
            && !changed.is_empty()
        {
            *unwritten = changed;
        }
        if unwritten.is_empty() {
            return Written::default();
        }
        let transaction = Transaction {
            checks: Vec::new(),
            writes: unwritten.clone(),
        };
        let length_bytes = length_bytes(&transaction.writes);
        if let Err(error) = self.platform.transact(&transaction).await {
            debug!("sidecar: costs not written yet: {error}");
            let is_written = false;
            return Written {
                is_written,
                length_bytes,
            };
        }
        unwritten.clear();
        let is_written = true;
        Written {
            is_written,
            length_bytes,
        }
    }
}

/// What became of one write.
#[derive(Debug, Clone, Copy)]
struct Written {
    /// Whether nothing is left to write.
    is_written: bool,
    /// Length of the rows that were sent.
    length_bytes: usize,
}

impl Written {
    /// Time over which the rows are spread, so that their mean stays within its bound.
    fn pause(self) -> Duration {
        if !self.is_written {
            return Duration::ZERO;
        }
        let length_bytes = u32::try_from(self.length_bytes).unwrap_or(u32::MAX);
        // The answer carries the rows back, so each byte counts twice.
        let pause = Duration::from_secs(1) * length_bytes.saturating_mul(2) / ROW_BYTES_PER_SECOND;
        pause.min(LONGEST_INTERVAL)
    }
}

impl Default for Written {
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

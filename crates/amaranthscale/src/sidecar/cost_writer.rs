//! Writes what attempts cost into the platform's table.

use std::time::Duration;

use amaranthscale_core::wire::{RowWrite, Transaction};
use log::debug;
use ractor::{ActorRef, call};
use tokio::sync::Mutex;

use super::gate::GateMessage;
use crate::process::PlatformClient;

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
        loop {
            // Jitter keeps a fleet that was started together from writing together.
            let pause = interval.mul_f64(rand::random_range(0.75..1.25));
            tokio::time::sleep(pause).await;
            self.write_once().await;
        }
    }

    /// Writes the last totals before a stop.
    pub(super) async fn write(&self) {
        for _try in 0..LAST_TRIES {
            if self.write_once().await {
                return;
            }
        }
    }

    /// Writes the totals if they changed, and says whether nothing is left to write.
    async fn write_once(&self) -> bool {
        let mut unwritten = self.unwritten.lock().await;
        if let Ok(changed) = call!(self.gate, GateMessage::Costs)
            && !changed.is_empty()
        {
            *unwritten = changed;
        }
        if unwritten.is_empty() {
            return true;
        }
        let transaction = Transaction {
            checks: Vec::new(),
            writes: unwritten.clone(),
        };
        if let Err(error) = self.platform.transact(&transaction).await {
            debug!("sidecar: costs not written yet: {error}");
            return false;
        }
        unwritten.clear();
        true
    }
}

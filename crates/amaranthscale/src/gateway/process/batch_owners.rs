//! The batch owners in this process, one for each cell that has received a job.
//!
//! Most gateways own no cell, and a gateway owns a second one only while another gateway is
//! unresponsive, so an owner is started by its first job.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthscale_core::process::{Cell, JobSpec};
use log::{error, info};
use ractor::Actor;

use super::{
    BatchOwner, BatchOwnerArguments, BatchOwnerHandle, BatchOwnerMessage, JobSource, RunningJob,
};

/// The batch owners, by cell.
#[derive(Debug)]
pub struct BatchOwners {
    arguments: BatchOwnerArguments,
    state: Mutex<State>,
    /// Locked while an owner starts, so that a cell never gets two.
    start_lock: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    owners: BTreeMap<Cell, BatchOwnerHandle>,
    is_stopping: bool,
}

impl BatchOwners {
    /// Creates the set without owners; each is started with these arguments and its own cell.
    #[must_use]
    pub fn new(arguments: BatchOwnerArguments) -> Self {
        Self {
            arguments,
            state: Mutex::default(),
            start_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Submits a job to its cell's owner; the results are retained until the job is dropped.
    pub async fn submit(&self, spec: JobSpec, source: JobSource) -> RunningJob {
        match self.owner(spec.cell, source).await {
            Some(owner) => owner.submit(spec, source).await,
            None => RunningJob::rejected(),
        }
    }

    /// Notifies the owners that routing or servers have changed.
    pub fn notify_changed(&self) {
        for owner in self.state().owners.values() {
            owner.notify(BatchOwnerMessage::ClusterChanged);
        }
    }

    /// Stops the owners from accepting jobs of other gateways.
    pub fn stop(&self) {
        let mut state = self.state();
        state.is_stopping = true;
        for owner in state.owners.values() {
            owner.notify(BatchOwnerMessage::Stop);
        }
    }

    /// The owner of a cell, started if needed; `None` for a peer's job while this gateway is
    /// stopping.
    async fn owner(&self, cell: Cell, source: JobSource) -> Option<BatchOwnerHandle> {
        // A peer's job with an invalid cell goes to the owner of `Cell::SINGLE`, which refuses it.
        let cell = if cell.is_well_formed() {
            cell
        } else {
            Cell::SINGLE
        };
        if self.state().is_stopping && source == JobSource::Peer {
            return None;
        }
        if let Some(owner) = self.started_owner(cell) {
            return Some(owner);
        }
        let _starting = self.start_lock.lock().await;
        if let Some(owner) = self.started_owner(cell) {
            return Some(owner);
        }
        let arguments = BatchOwnerArguments {
            cell,
            ..self.arguments.clone()
        };
        let started = match Actor::spawn(None, BatchOwner, arguments).await {
            Ok((owner, _running)) => BatchOwnerHandle::new(owner),
            Err(reason) => {
                error!(cell:% = cell, reason:% = reason; "batches: owner not started");
                return None;
            }
        };
        info!(cell:% = cell; "batches: owner started");
        let mut state = self.state();
        state.owners.insert(cell, started.clone());
        if state.is_stopping {
            started.notify(BatchOwnerMessage::Stop);
        }
        Some(started)
    }

    fn started_owner(&self, cell: Cell) -> Option<BatchOwnerHandle> {
        self.state().owners.get(&cell).cloned()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The owners of batches in this process, one for each cell that was asked for.
//!
//! Most gateways own no cell, and one owns a second one only while another gateway is silent, so an
//! owner is started by its first job.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthscale_core::process::{Cell, JobSpec};
use log::{error, info};
use ractor::Actor;

use super::{
    BatchOwner, BatchOwnerArguments, BatchOwnerHandle, BatchOwnerMessage, JobSource, RunningJob,
};

/// The owners of batches, by cell.
#[derive(Debug)]
pub struct BatchOwners {
    arguments: BatchOwnerArguments,
    state: Mutex<State>,
    /// Held while an owner starts, so that a cell never gets two.
    starting: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    owners: BTreeMap<Cell, BatchOwnerHandle>,
    is_stopping: bool,
}

impl BatchOwners {
    /// No owners; those to come start with these arguments and their cell.
    #[must_use]
    pub fn new(arguments: BatchOwnerArguments) -> Self {
        Self {
            arguments,
            state: Mutex::default(),
            starting: tokio::sync::Mutex::default(),
        }
    }

    /// Has a request's pieces made by its cell; the results are kept until the job is dropped.
    pub async fn submit(&self, order: JobSpec, source: JobSource) -> RunningJob {
        match self.owner(order.cell, source).await {
            Some(owner) => owner.submit(order, source).await,
            None => RunningJob::none(),
        }
    }

    /// Tells the owners that routing or servers have changed.
    pub fn tell_changed(&self) {
        for owner in self.state().owners.values() {
            owner.tell(BatchOwnerMessage::Changed);
        }
    }

    /// Lets the owners take no more jobs, and starts no more owners.
    pub fn stop(&self) {
        let mut state = self.state();
        state.is_stopping = true;
        for owner in state.owners.values() {
            owner.tell(BatchOwnerMessage::Stop);
        }
    }

    /// The owner of a cell; none for others if this gateway is about to stop.
    async fn owner(&self, cell: Cell, source: JobSource) -> Option<BatchOwnerHandle> {
        // Whatever a peer names beyond what can be is refused by the whole's owner.
        let cell = if cell.is_well_formed() {
            cell
        } else {
            Cell::SINGLE
        };
        if self.state().is_stopping && source == JobSource::Peer {
            return None;
        }
        if let Some(owner) = self.running(cell) {
            return Some(owner);
        }
        let _starting = self.starting.lock().await;
        if let Some(owner) = self.running(cell) {
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
            started.tell(BatchOwnerMessage::Stop);
        }
        Some(started)
    }

    fn running(&self, cell: Cell) -> Option<BatchOwnerHandle> {
        self.state().owners.get(&cell).cloned()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

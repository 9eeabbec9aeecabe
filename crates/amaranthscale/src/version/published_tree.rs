//! Where a keeper publishes the tree for the rest of its process.

use std::sync::Arc;

use amaranthscale_core::version::{CompiledTree, TreeLog};
use tokio::sync::watch;
use tokio::time::Instant;

/// The writing ends, which the keeper holds.
#[derive(Debug)]
pub struct PublishedTree {
    /// Tree in force.
    pub in_force: watch::Sender<Arc<CompiledTree>>,
    /// Tree in force with the edits that led to it.
    pub log: watch::Sender<Arc<TreeLog>>,
    /// Whether the process has learned a version that it may decide by.
    pub ready: watch::Sender<bool>,
    /// When the keeper last looked at the table.
    pub polled: watch::Sender<Instant>,
}

impl PublishedTree {
    /// Publishes a log, not yet ready.
    #[must_use]
    pub fn new(log: TreeLog) -> Self {
        Self {
            in_force: watch::Sender::new(Arc::clone(log.current())),
            log: watch::Sender::new(Arc::new(log)),
            ready: watch::Sender::new(false),
            polled: watch::Sender::new(Instant::now()),
        }
    }
}

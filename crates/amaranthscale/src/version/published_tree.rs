//! The channels that publish the settings tree to the rest of a process.

use std::sync::Arc;

use amaranthscale_core::version::{CompiledTree, TreeLog};
use tokio::sync::watch;
use tokio::time::Instant;

/// The sending ends, which belong to the actor that synchronises the tree.
#[derive(Debug)]
pub struct PublishedTree {
    /// Tree in force.
    pub in_force: watch::Sender<Arc<CompiledTree>>,
    /// Tree in force with the edits that led to it.
    pub log: watch::Sender<Arc<TreeLog>>,
    /// Whether the process has a version that it may make decisions from.
    pub ready: watch::Sender<bool>,
    /// Time of the last poll of the table.
    pub last_poll: watch::Sender<Instant>,
}

impl PublishedTree {
    /// Publishes a log, not yet ready.
    #[must_use]
    pub fn new(log: TreeLog) -> Self {
        Self {
            in_force: watch::Sender::new(Arc::clone(log.current())),
            log: watch::Sender::new(Arc::new(log)),
            ready: watch::Sender::new(false),
            last_poll: watch::Sender::new(Instant::now()),
        }
    }
}

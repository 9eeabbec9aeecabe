//! Keeps the entry's view of the evacuated availability zones.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranthscale_core::id::ZoneId;
use amaranthscale_core::version::CompiledTree;
use tokio::sync::watch;

use super::{Decision, DecisionsHandle};

/// Tells the decisions of each evacuation that the tree in force holds; ends with its task.
pub async fn watch_zones(mut tree: watch::Receiver<Arc<CompiledTree>>, decisions: DecisionsHandle) {
    let mut told: BTreeSet<ZoneId> = BTreeSet::new();
    loop {
        let zones = tree.borrow_and_update().tree().evacuated_zones.clone();
        if zones != told {
            decisions.tell(Decision::Evacuated(zones.clone()));
            told = zones;
        }
        if tree.changed().await.is_err() {
            return;
        }
    }
}

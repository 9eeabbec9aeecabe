//! Task that follows evacuations of availability zones.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranthscale_core::id::ZoneId;
use amaranthscale_core::version::CompiledTree;
use tokio::sync::watch;

use super::{DecisionsHandle, DecisionsMessage};

/// Sends the evacuated zones of each settings tree in force to the decisions actor.
pub async fn watch_zones(mut tree: watch::Receiver<Arc<CompiledTree>>, decisions: DecisionsHandle) {
    let mut reported: BTreeSet<ZoneId> = BTreeSet::new();
    loop {
        let zones = tree.borrow_and_update().tree().evacuated_zones.clone();
        if zones != reported {
            decisions.send(DecisionsMessage::EvacuatedZones(zones.clone()));
            reported = zones;
        }
        if tree.changed().await.is_err() {
            return;
        }
    }
}

//! Applies operators' evacuations of availability zones.

use amaranthscale_core::process::{ZoneChange, ZoneState};
use log::info;

use super::super::clock::ms;
use super::super::{StoreApi, StoreRow};
use super::ClusterView;
use super::invalid_entry_log::InvalidEntryLog;

/// Parses the states of availability zones from rows of the routing table.
pub(super) fn parse_zone_changes(
    store: &StoreApi,
    rows: &[StoreRow],
    invalid_entries: &mut InvalidEntryLog,
) -> Vec<ZoneChange> {
    let mut changes = Vec::new();
    for row in rows {
        match (store.parse_zone_change)(row) {
            Ok(None) => {}
            Ok(Some(change)) => {
                match &change.state {
                    Ok(_) => invalid_entries.remove(&row.key),
                    // The zone keeps its state, as an invalid row does not take it back.
                    Err(reason) => invalid_entries.record(&row.key, reason),
                }
                changes.push(change);
            }
            Err(reason) => invalid_entries.record(&row.key, &reason),
        }
    }
    changes
}

/// Evacuates zones and takes them back; returns the number of changed zones.
pub(super) fn apply_zone_changes(
    cluster_view: &ClusterView,
    changes: Vec<ZoneChange>,
    is_snapshot: bool,
) -> u64 {
    if changes.is_empty() && !is_snapshot {
        return 0;
    }
    let mut count = 0;
    let age_ms = ms(cluster_view.age().unwrap_or_default());
    cluster_view.change_servers(|servers, now| {
        let changed_zones = servers.apply_zones(changes, is_snapshot, now);
        for (zone, state) in &changed_zones {
            let servers_in_zone = servers.all().filter(|record| record.zone == *zone);
            let servers = servers_in_zone.count();
            match state {
                ZoneState::Evacuated(version) => info!(
                    zone = zone.as_str(), version:%, servers, age_ms; "servers: zone evacuated"
                ),
                ZoneState::InUse => {
                    info!(zone = zone.as_str(), servers, age_ms; "servers: zone taken back");
                }
            }
        }
        count = u64::try_from(changed_zones.len()).unwrap_or(u64::MAX);
        !changed_zones.is_empty()
    });
    count
}

//! Takes operators' words on availability zones.

use amaranthscale_core::process::{ZoneChange, ZoneState};
use log::info;

use super::super::clock::ms;
use super::super::{StoreApi, StoreRow};
use super::ClusterView;
use super::refused_entries::RefusedEntries;

/// What rows of the routing's table say of availability zones.
pub(super) fn zone_changes(
    store: &StoreApi,
    rows: &[StoreRow],
    refusals: &mut RefusedEntries,
) -> Vec<ZoneChange> {
    let mut changes = Vec::new();
    for row in rows {
        match (store.parse_zone_change)(row) {
            Ok(None) => {}
            Ok(Some(change)) => {
                match &change.state {
                    Ok(_) => refusals.forget(&row.key),
                    // The zone stays as it is: nothing says that it was taken back.
                    Err(reason) => refusals.note(&row.key, reason),
                }
                changes.push(change);
            }
            Err(reason) => refusals.note(&row.key, &reason),
        }
    }
    changes
}

/// Evacuates zones and takes them back; says how many.
pub(super) fn take_zones(
    cluster_view: &ClusterView,
    changes: Vec<ZoneChange>,
    is_whole: bool,
) -> u64 {
    if changes.is_empty() && !is_whole {
        return 0;
    }
    let mut count = 0;
    let age_ms = ms(cluster_view.age().unwrap_or_default());
    cluster_view.change_servers(|servers, now| {
        let taken = servers.apply_zones(changes, is_whole, now);
        for (zone, state) in &taken {
            let in_zone = servers.all().filter(|record| record.zone == *zone);
            let servers = in_zone.count();
            match state {
                ZoneState::Evacuated(version) => info!(
                    zone = zone.as_str(), version:%, servers, age_ms; "servers: zone evacuated"
                ),
                ZoneState::InUse => {
                    info!(zone = zone.as_str(), servers, age_ms; "servers: zone taken back");
                }
            }
        }
        count = u64::try_from(taken.len()).unwrap_or(u64::MAX);
        !taken.is_empty()
    });
    count
}

//! The list of backend servers: store outages, restarts, evacuated zones and cold servers.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/server_record.rs"]
mod server_record;

use std::time::Duration;

use amaranthscale_core::id::{RowVersion, ServerIncarnation, ServiceId, ZoneId};
use amaranthscale_core::process::{
    ColdLimits, EXPIRY_GRACE, ServerAvailability, ServerChange, ServerList, ServerRecord,
    ZoneChange, ZoneState,
};
use server_record::record;

const SECOND: Duration = Duration::from_secs(1);

fn list_of(ids: &[&str]) -> ServerList {
    let mut servers = ServerList::default();
    for id in ids {
        servers.apply_change(ServerChange::Listed(record(id)), Duration::ZERO);
    }
    servers
}

fn usable(servers: &ServerList) -> Vec<String> {
    let service: ServiceId = "scale".parse().unwrap();
    let ids = servers
        .usable(&service)
        .map(|server| server.incarnation.to_string());
    ids.collect()
}

#[test]
fn a_leaving_server_is_not_usable() {
    let mut servers = list_of(&["a", "b"]);
    let leaving = ServerRecord {
        is_leaving: true,
        ..record("a")
    };

    let is_changed = servers.apply_change(ServerChange::Listed(leaving), SECOND);

    assert!(is_changed);
    assert_eq!(usable(&servers), ["b"]);
}

#[test]
fn rewriting_an_unchanged_entry_changes_nothing() {
    let mut servers = list_of(&["a"]);

    let is_changed = servers.apply_change(ServerChange::Listed(record("a")), SECOND);

    assert!(!is_changed);
}

#[test]
fn a_removed_server_is_dropped_at_once_while_the_store_answers() {
    let mut servers = list_of(&["a", "b"]);

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);

    assert_eq!(usable(&servers), ["b"]);
}

/// The store is unreachable for some seconds. The servers cannot renew their entries, which expire
/// although the servers are running. When the store is back, the list is empty for a moment, and a
/// gateway without a grace period would refuse every request.
#[test]
fn servers_whose_entries_expired_in_an_outage_stay_usable_for_the_grace_period() {
    let mut servers = list_of(&["a", "b"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    servers.replace_all(Vec::new(), 10 * SECOND);

    assert_eq!(usable(&servers), ["a", "b"]);
    assert!(servers.drop_expired(11 * SECOND).is_empty());
    servers.apply_change(ServerChange::Listed(record("b")), 11 * SECOND);
    let dropped = servers.drop_expired(10 * SECOND + EXPIRY_GRACE);
    assert_eq!(dropped, ["a".parse().unwrap()]);
    assert_eq!(usable(&servers), ["b"]);
}

/// A server is removed from the list shortly after the store came back. If the grace period started
/// anew for each server, this one would be used for longer than a leaving server may be.
#[test]
fn the_grace_period_starts_when_the_store_is_back() {
    let mut servers = list_of(&["a"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    let late = 10 * SECOND + Duration::from_millis(1_900);
    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), late);

    assert_eq!(servers.expired_until(), Some(10 * SECOND + EXPIRY_GRACE));
    assert_eq!(servers.drop_expired(10 * SECOND + EXPIRY_GRACE).len(), 1);
    assert!(usable(&servers).is_empty());
}

#[test]
fn after_the_grace_period_a_removed_server_is_dropped_at_once() {
    let mut servers = list_of(&["a"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), 13 * SECOND);

    assert!(usable(&servers).is_empty());
}

#[test]
fn nothing_is_dropped_during_another_outage() {
    let mut servers = list_of(&["a"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);
    servers.replace_all(Vec::new(), 10 * SECOND);
    servers.store_lost();

    let dropped = servers.drop_expired(60 * SECOND);

    assert!(dropped.is_empty());
    assert_eq!(usable(&servers), ["a"]);
}

/// A server crashes and restarts with the same id between two polls. If it counted as the same
/// server, requests would use connections and stored results of the earlier incarnation.
#[test]
fn a_restarted_server_is_another_incarnation() {
    let mut servers = list_of(&["a@1000", "b@1000"]);
    let before = "a@1000".parse().unwrap();

    let is_changed = servers.apply_change(ServerChange::Listed(record("a@2000")), SECOND);

    assert!(is_changed);
    assert!(!servers.is_usable(&before));
    assert!(servers.is_usable(&"a@2000".parse().unwrap()));
}

/// The clock of a host steps back and its server restarts, so the later incarnation has the earlier
/// start time. The order of the store's answers decides which one is listed.
#[test]
fn an_incarnation_with_an_earlier_start_time_may_be_the_later_one() {
    let mut servers = list_of(&["a@2000"]);

    servers.apply_change(ServerChange::Listed(record("a@1000")), SECOND);

    assert_eq!(usable(&servers), ["a@1000"]);
}

/// A server restarts while the store is unreachable. The entry expired, and the one written
/// afterwards is of another incarnation.
#[test]
fn an_incarnation_started_in_an_outage_replaces_the_expired_one() {
    let mut servers = list_of(&["a@1000"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);
    servers.replace_all(Vec::new(), 10 * SECOND);
    assert_eq!(usable(&servers), ["a@1000"]);

    servers.apply_change(ServerChange::Listed(record("a@2000")), 11 * SECOND);

    assert_eq!(usable(&servers), ["a@2000"]);
    assert!(servers.drop_expired(20 * SECOND).is_empty());
}

/// Another program overwrites a server's entry with other bytes. The server is dropped even in the
/// grace period, since the store itself shows that its entry is gone.
#[test]
fn a_server_is_dropped_when_its_entry_becomes_unreadable() {
    let mut servers = list_of(&["a", "b"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    let is_changed =
        servers.apply_change(ServerChange::Unreadable("a".parse().unwrap()), 10 * SECOND);

    assert!(is_changed);
    assert_eq!(usable(&servers), ["b"]);
}

/// The whole list is read again, and one entry has become unreadable: the others stay valid.
#[test]
fn an_unreadable_entry_does_not_affect_others() {
    let mut servers = list_of(&["a", "b"]);
    let entries = vec![
        ServerChange::Unreadable("a".parse().unwrap()),
        ServerChange::Listed(record("b")),
        ServerChange::Listed(record("c")),
    ];

    servers.replace_all(entries, SECOND);

    assert_eq!(usable(&servers), ["b", "c"]);
}

/// Another program writes an entry that lacks only the start time. Requests sent there would wait
/// for a server that does not exist, so such an entry is ignored. But on a platform whose servers
/// report no start times, entries without one are valid.
#[test]
fn an_entry_without_a_start_time_counts_only_if_most_have_none() {
    let reported = list_of(&["a@1000", "b@1000", "c"]);
    let unreported = list_of(&["a", "b", "c@1000"]);

    assert_eq!(usable(&reported), ["a@1000", "b@1000"]);
    assert!(!reported.is_usable(&"c".parse().unwrap()));
    assert_eq!(usable(&unreported), ["a", "b", "c@1000"]);
}

const TERMS: ColdLimits = ColdLimits {
    cold_duration: Duration::from_secs(3),
    max_per_s: 36.5,
};

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn evacuated(name: &str, version: u64) -> ZoneChange {
    ZoneChange {
        zone: zone(name),
        state: Ok(ZoneState::Evacuated(RowVersion::new(version))),
    }
}

fn taken_back(name: &str) -> ZoneChange {
    ZoneChange {
        zone: zone(name),
        state: Ok(ZoneState::InUse),
    }
}

fn availability(servers: &ServerList, id: &str, now: Duration) -> ServerAvailability {
    servers.availability(&id.parse().unwrap(), Some(TERMS), now)
}

fn cold(until: Duration) -> ServerAvailability {
    ServerAvailability::Cold {
        until,
        max_per_s: TERMS.max_per_s,
    }
}

/// Operators evacuate a zone. None of its servers is usable from then on, not even one listed
/// later. When the zone is taken back, its servers may have become cold unnoticed.
#[test]
fn an_evacuated_zone_is_not_usable_and_is_cold_when_taken_back() {
    let mut servers = list_of(&["a"]);

    let changed = servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_change(ServerChange::Listed(record("b")), SECOND);

    let state = ZoneState::Evacuated(RowVersion::new(7));
    assert_eq!(changed, [(zone("north"), state)]);
    assert!(usable(&servers).is_empty());
    assert_eq!(
        availability(&servers, "a", SECOND),
        ServerAvailability::Evacuated
    );
    assert_eq!(
        availability(&servers, "b", SECOND),
        ServerAvailability::Evacuated
    );
    let service: ServiceId = "scale".parse().unwrap();
    assert_eq!(servers.not_leaving(&service).count(), 2);

    servers.apply_zones(vec![taken_back("north")], false, 5 * SECOND);

    assert_eq!(availability(&servers, "a", 5 * SECOND), cold(8 * SECOND));
    assert_eq!(
        availability(&servers, "a", 8 * SECOND),
        ServerAvailability::Free
    );
    // The servers of a service without cold servers are usable at once.
    let incarnation = "a".parse().unwrap();
    assert_eq!(
        servers.availability(&incarnation, None, 5 * SECOND),
        ServerAvailability::Free
    );
}

/// An evacuation is written, removed and written again while the store loses its history. A zone
/// that is missing from the whole table is taken back; one that it contains stays evacuated.
#[test]
fn a_whole_table_replaces_the_evacuated_zones() {
    let mut servers = list_of(&["a"]);
    servers.apply_zones(
        vec![evacuated("north", 7), evacuated("south", 8)],
        false,
        SECOND,
    );

    let changed = servers.apply_zones(vec![evacuated("north", 9)], true, 2 * SECOND);

    assert_eq!(changed, [(zone("south"), ZoneState::InUse)]);
    let left: Vec<_> = servers.evacuated_zones().collect();
    assert_eq!(left, [(&zone("north"), RowVersion::new(9))]);
    servers.apply_zones(Vec::new(), true, 3 * SECOND);
    assert_eq!(servers.evacuated_zones().count(), 0);
    servers.apply_zones(vec![evacuated("north", 12)], false, 4 * SECOND);
    assert_eq!(
        availability(&servers, "a", 4 * SECOND),
        ServerAvailability::Evacuated
    );
}

/// The row of an evacuation is overwritten with something else. That does not take the zone back,
/// so it stays evacuated; a zone in use stays in use.
#[test]
fn an_unreadable_row_leaves_a_zone_as_it_is() {
    let unreadable = |name| ZoneChange {
        zone: zone(name),
        state: Err("no object".to_owned()),
    };
    let mut servers = list_of(&["a"]);

    let changed = servers.apply_zones(vec![unreadable("north")], false, SECOND);
    assert!(changed.is_empty());
    assert_eq!(
        availability(&servers, "a", SECOND),
        ServerAvailability::Free
    );

    servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_zones(vec![unreadable("north")], true, SECOND);

    assert_eq!(
        availability(&servers, "a", SECOND),
        ServerAvailability::Evacuated
    );
}

#[test]
fn a_zone_that_is_evacuated_again_at_once_is_not_usable() {
    let mut servers = list_of(&["a"]);
    servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_zones(vec![taken_back("north")], false, 2 * SECOND);

    servers.apply_zones(vec![evacuated("north", 9)], false, 2 * SECOND);

    assert_eq!(
        availability(&servers, "a", 2 * SECOND),
        ServerAvailability::Evacuated
    );
}

/// A server has just started and reports for how long it is cold; its next entry has the time left.
#[test]
fn a_server_is_cold_for_as_long_as_it_reports() {
    let reported = |left_ms| {
        ServerChange::Listed(ServerRecord {
            cold_left: Some(Duration::from_millis(left_ms)),
            ..record("a")
        })
    };
    let mut servers = ServerList::default();

    servers.apply_change(reported(3_000), SECOND);
    assert_eq!(availability(&servers, "a", SECOND), cold(4 * SECOND));
    servers.apply_change(reported(500), 2 * SECOND);
    assert_eq!(
        availability(&servers, "a", 2 * SECOND),
        cold(Duration::from_millis(2_500))
    );

    // It may become cold again at any time, and be warm earlier than reported.
    servers.apply_change(reported(0), 3 * SECOND);
    assert_eq!(
        availability(&servers, "a", 3 * SECOND),
        ServerAvailability::Free
    );
    servers.apply_change(reported(2_000), 9 * SECOND);
    assert_eq!(availability(&servers, "a", 9 * SECOND), cold(11 * SECOND));
}

/// On a platform whose entries do not report it, a server listed after the first whole list counts
/// as just started.
#[test]
fn a_server_listed_later_without_a_report_counts_as_cold() {
    let listed = |id| ServerChange::Listed(record(id));
    let mut servers = ServerList::default();
    servers.replace_all(vec![listed("a")], SECOND);

    servers.apply_change(listed("b"), 2 * SECOND);

    assert_eq!(
        availability(&servers, "a", 2 * SECOND),
        ServerAvailability::Free
    );
    assert_eq!(availability(&servers, "b", 2 * SECOND), cold(5 * SECOND));
    assert_eq!(
        availability(&servers, "b", 5 * SECOND),
        ServerAvailability::Free
    );
}

#[test]
fn leaving_and_unlisted_servers_are_reported_as_such() {
    let mut servers = list_of(&["a"]);
    let leaving = ServerRecord {
        is_leaving: true,
        ..record("a")
    };
    servers.apply_change(ServerChange::Listed(leaving), SECOND);

    assert_eq!(
        availability(&servers, "a", SECOND),
        ServerAvailability::Leaving
    );
    assert_eq!(
        availability(&servers, "b", SECOND),
        ServerAvailability::Unlisted
    );
    assert!(!availability(&servers, "a", SECOND).is_usable());
}

/// Guards against a record that was written before an answer and is read after it.
#[test]
fn a_stated_leaving_is_not_undone_by_records() {
    let mut servers = list_of(&["a@1000", "b@1000"]);
    let leaving = "a@1000".parse().unwrap();
    assert!(servers.record_leaving(&leaving, SECOND));
    assert!(!servers.record_leaving(&leaving, SECOND));
    let records = || {
        vec![
            ServerChange::Listed(record("a@1000")),
            ServerChange::Listed(record("b@1000")),
        ]
    };

    servers.apply_change(ServerChange::Listed(record("a@1000")), 2 * SECOND);
    servers.replace_all(records(), 3 * SECOND);
    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), 4 * SECOND);
    servers.replace_all(records(), 5 * SECOND);

    assert_eq!(usable(&servers), ["b@1000"]);
    let availability = availability(&servers, "a@1000", 5 * SECOND);
    assert_eq!(availability, ServerAvailability::Leaving);
}

/// Guards against a restarted server that stays excluded because its earlier incarnation left.
#[test]
fn a_stated_leaving_ends_with_the_incarnation() {
    let mut servers = list_of(&["a@1000"]);
    servers.record_leaving(&"a@1000".parse().unwrap(), SECOND);

    servers.apply_change(ServerChange::Listed(record("a@2000")), 2 * SECOND);

    assert_eq!(usable(&servers), ["a@2000"]);
}

/// Guards against memory that grows with every server that ever left.
#[test]
fn stated_leavings_of_servers_that_are_gone_are_forgotten() {
    let mut servers = list_of(&["listed"]);
    let listed = "listed".parse().unwrap();
    servers.record_leaving(&listed, SECOND);
    let gone: Vec<ServerIncarnation> = (0..10_000)
        .map(|number| format!("gone-{number}").parse().unwrap())
        .collect();
    for (second, server) in (1..).zip(&gone) {
        servers.record_leaving(server, second * SECOND);
    }

    let remembered = gone.iter().filter(|one| servers.has_stated_leaving(one));
    assert!(remembered.count() < 1_000);
    assert!(servers.has_stated_leaving(&listed));
}

/// Guards against an older or shorter request that ends a backoff early.
#[test]
fn the_latest_end_of_all_requested_backoffs_counts() {
    let mut servers = list_of(&["a", "b"]);
    let server = "a".parse().unwrap();
    let backing_off = |until| ServerAvailability::BackingOff { until };

    assert!(servers.record_backoff(&server, 4 * SECOND, SECOND));
    assert!(!servers.record_backoff(&server, 2 * SECOND, SECOND));
    assert!(!servers.record_backoff(&server, SECOND, SECOND));
    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);
    servers.apply_change(ServerChange::Listed(record("a")), SECOND);

    assert_eq!(
        availability(&servers, "a", 3 * SECOND),
        backing_off(4 * SECOND)
    );
    assert_eq!(
        availability(&servers, "a", 4 * SECOND),
        ServerAvailability::Free
    );
    assert_eq!(
        availability(&servers, "b", 3 * SECOND),
        ServerAvailability::Free
    );
}

/// Guards against a backoff that hides that a server leaves or that its zone is evacuated: it would
/// be used again at the backoff's end.
#[test]
fn a_backoff_comes_after_what_excludes_a_server_for_good() {
    let mut servers = list_of(&["a"]);
    let server = "a".parse().unwrap();
    servers.record_backoff(&server, 4 * SECOND, SECOND);
    servers.record_leaving(&server, SECOND);
    let stated = availability(&servers, "a", 2 * SECOND);

    servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);

    assert_eq!(stated, ServerAvailability::Leaving);
    let in_evacuated_zone = availability(&servers, "a", 2 * SECOND);
    assert_eq!(in_evacuated_zone, ServerAvailability::Evacuated);
}

/// Guards against a limit that is lost with an entry which expires and returns.
#[test]
fn a_reported_limit_outlasts_the_servers_entry() {
    let mut servers = list_of(&["a", "b"]);
    servers.set_limit(&"a".parse().unwrap(), Some("1.5".parse().unwrap()));

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);
    servers.apply_change(ServerChange::Listed(record("a")), 2 * SECOND);

    let limited = ServerAvailability::Limited { max_per_s: 1.5 };
    assert_eq!(availability(&servers, "a", 2 * SECOND), limited);
}

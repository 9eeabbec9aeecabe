//! The list of backend servers through outages of the store.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::{RowVersion, ServiceId, ZoneId};
use amaranthscale_core::process::{
    ColdLimits, EXPIRY_GRACE, ServerAvailability, ServerChange, ServerList, ServerRecord,
    ZoneChange, ZoneState,
};

const SECOND: Duration = Duration::from_secs(1);

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        incarnation: id.parse().unwrap(),
        service: "scale".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        cold_left: None,
    }
}

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
fn a_leaving_server_takes_nothing_more() {
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
fn an_entry_that_is_written_again_unchanged_changes_nothing() {
    let mut servers = list_of(&["a"]);

    let is_changed = servers.apply_change(ServerChange::Listed(record("a")), SECOND);

    assert!(!is_changed);
}

#[test]
fn a_removed_server_is_gone_at_once_while_the_store_answers() {
    let mut servers = list_of(&["a", "b"]);

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);

    assert_eq!(usable(&servers), ["b"]);
}

/// The store is away for some seconds. The servers cannot write their entries and these lapse,
/// though the servers serve all the while. When the store is back, the list is empty for a moment:
/// a gateway that believed it would refuse every request.
#[test]
fn servers_whose_entries_lapsed_in_an_outage_stay_in_use_for_the_grace() {
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

/// A server leaves the list shortly after the store came back. If the grace began anew with each
/// lapse, the server would be used for longer than a leaving one may be.
#[test]
fn the_grace_ends_with_the_stores_return_however_late_the_lapse() {
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
fn after_the_grace_missing_is_gone() {
    let mut servers = list_of(&["a"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), 13 * SECOND);

    assert!(usable(&servers).is_empty());
}

#[test]
fn nothing_is_dropped_while_the_store_is_away_again() {
    let mut servers = list_of(&["a"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);
    servers.replace_all(Vec::new(), 10 * SECOND);
    servers.store_lost();

    let dropped = servers.drop_expired(60 * SECOND);

    assert!(dropped.is_empty());
    assert_eq!(usable(&servers), ["a"]);
}

/// A server crashes and starts again under its id between two polls. Taken for the same server, a
/// request chosen for the earlier life would be sent on a connection, and with results, that are gone.
#[test]
fn a_server_that_starts_again_is_another_life() {
    let mut servers = list_of(&["a@1000", "b@1000"]);
    let before = "a@1000".parse().unwrap();

    let is_changed = servers.apply_change(ServerChange::Listed(record("a@2000")), SECOND);

    assert!(is_changed);
    assert!(!servers.is_usable(&before));
    assert!(servers.is_usable(&"a@2000".parse().unwrap()));
}

/// The time of day of a host steps back, and its server starts again: the newer life has the older
/// start. The order of the store's answers says which one is listed.
#[test]
fn a_life_with_an_older_start_may_be_the_newer_one() {
    let mut servers = list_of(&["a@2000"]);

    servers.apply_change(ServerChange::Listed(record("a@1000")), SECOND);

    assert_eq!(usable(&servers), ["a@1000"]);
}

/// A life ends and the next one begins while the store is away. The entry lapsed, and what comes
/// back under the id is not what lapsed.
#[test]
fn a_life_that_began_in_an_outage_replaces_the_lapsed_one() {
    let mut servers = list_of(&["a@1000"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);
    servers.replace_all(Vec::new(), 10 * SECOND);
    assert_eq!(usable(&servers), ["a@1000"]);

    servers.apply_change(ServerChange::Listed(record("a@2000")), 11 * SECOND);

    assert_eq!(usable(&servers), ["a@2000"]);
    assert!(servers.drop_expired(20 * SECOND).is_empty());
}

/// Another program overwrites a server's entry with bytes of its own. Whatever stands there now, it
/// names no server, also in an outage's grace: the store itself has told it.
#[test]
fn an_unreadable_entry_names_no_server_though_one_stood_there() {
    let mut servers = list_of(&["a", "b"]);
    servers.store_lost();
    servers.store_answered(10 * SECOND);

    let is_changed =
        servers.apply_change(ServerChange::Unreadable("a".parse().unwrap()), 10 * SECOND);

    assert!(is_changed);
    assert_eq!(usable(&servers), ["b"]);
}

/// The whole list is read again, and one entry has become unreadable meanwhile: the others hold.
#[test]
fn an_unreadable_entry_in_the_whole_list_costs_only_itself() {
    let mut servers = list_of(&["a", "b"]);
    let entries = vec![
        ServerChange::Unreadable("a".parse().unwrap()),
        ServerChange::Listed(record("b")),
        ServerChange::Listed(record("c")),
    ];

    servers.replace_all(entries, SECOND);

    assert_eq!(usable(&servers), ["b", "c"]);
}

/// Another program writes an entry that has all but the start. A request sent there would wait for
/// a server that is not; yet one such writer must not cost a platform whose servers tell no start.
#[test]
fn an_entry_without_a_start_counts_only_where_most_have_none() {
    let told = list_of(&["a@1000", "b@1000", "c"]);
    let untold = list_of(&["a", "b", "c@1000"]);

    assert_eq!(usable(&told), ["a@1000", "b@1000"]);
    assert!(!told.is_usable(&"c".parse().unwrap()));
    assert_eq!(usable(&untold), ["a", "b", "c@1000"]);
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

fn use_of(servers: &ServerList, id: &str, now: Duration) -> ServerAvailability {
    servers.availability(&id.parse().unwrap(), Some(TERMS), now)
}

fn cold(until: Duration) -> ServerAvailability {
    ServerAvailability::Cold {
        until,
        max_per_s: TERMS.max_per_s,
    }
}

/// Operators evacuate a zone. All of its servers get nothing from that moment on, one that comes
/// meanwhile neither; when the zone is taken back they may have become cold unseen.
#[test]
fn an_evacuated_zone_is_out_of_use_and_comes_back_cold() {
    let mut servers = list_of(&["a"]);

    let changed = servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_change(ServerChange::Listed(record("b")), SECOND);

    let state = ZoneState::Evacuated(RowVersion::new(7));
    assert_eq!(changed, [(zone("north"), state)]);
    assert!(usable(&servers).is_empty());
    assert_eq!(use_of(&servers, "a", SECOND), ServerAvailability::Evacuated);
    assert_eq!(use_of(&servers, "b", SECOND), ServerAvailability::Evacuated);
    let service: ServiceId = "scale".parse().unwrap();
    assert_eq!(servers.not_leaving(&service).count(), 2);

    servers.apply_zones(vec![taken_back("north")], false, 5 * SECOND);

    assert_eq!(use_of(&servers, "a", 5 * SECOND), cold(8 * SECOND));
    assert_eq!(use_of(&servers, "a", 8 * SECOND), ServerAvailability::Free);
    // A service whose servers are never cold is used at once.
    let life = "a".parse().unwrap();
    assert_eq!(
        servers.availability(&life, None, 5 * SECOND),
        ServerAvailability::Free
    );
}

/// An evacuation is written, removed and written again while the store's history is forgotten: what
/// a whole table does not name is taken back, what it names is not.
#[test]
fn a_whole_table_says_which_zones_are_evacuated() {
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
        use_of(&servers, "a", 4 * SECOND),
        ServerAvailability::Evacuated
    );
}

/// Something else is written where the evacuation of a zone stood. Nobody said that the zone was
/// taken back, so it stays out of use; a zone that was in use stays in use.
#[test]
fn unreadable_words_leave_a_zone_as_it_is() {
    let unreadable = |name| ZoneChange {
        zone: zone(name),
        state: Err("no object".to_owned()),
    };
    let mut servers = list_of(&["a"]);

    let changed = servers.apply_zones(vec![unreadable("north")], false, SECOND);
    assert!(changed.is_empty());
    assert_eq!(use_of(&servers, "a", SECOND), ServerAvailability::Free);

    servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_zones(vec![unreadable("north")], true, SECOND);

    assert_eq!(use_of(&servers, "a", SECOND), ServerAvailability::Evacuated);
}

#[test]
fn a_zone_that_is_evacuated_again_at_once_is_out_of_use() {
    let mut servers = list_of(&["a"]);
    servers.apply_zones(vec![evacuated("north", 7)], false, SECOND);
    servers.apply_zones(vec![taken_back("north")], false, 2 * SECOND);

    servers.apply_zones(vec![evacuated("north", 9)], false, 2 * SECOND);

    assert_eq!(
        use_of(&servers, "a", 2 * SECOND),
        ServerAvailability::Evacuated
    );
}

/// A server has just started and says for how long it is cold; its next entry says how much is left.
#[test]
fn a_server_is_cold_by_its_own_word() {
    let told = |left_ms| {
        ServerChange::Listed(ServerRecord {
            cold_left: Some(Duration::from_millis(left_ms)),
            ..record("a")
        })
    };
    let mut servers = ServerList::default();

    servers.apply_change(told(3_000), SECOND);
    assert_eq!(use_of(&servers, "a", SECOND), cold(4 * SECOND));
    servers.apply_change(told(500), 2 * SECOND);
    assert_eq!(
        use_of(&servers, "a", 2 * SECOND),
        cold(Duration::from_millis(2_500))
    );

    // It may become cold again at any moment, and be warm earlier than it said.
    servers.apply_change(told(0), 3 * SECOND);
    assert_eq!(use_of(&servers, "a", 3 * SECOND), ServerAvailability::Free);
    servers.apply_change(told(2_000), 9 * SECOND);
    assert_eq!(use_of(&servers, "a", 9 * SECOND), cold(11 * SECOND));
}

/// On a platform whose entries do not tell, one that comes after the first whole list has started.
#[test]
fn a_server_that_came_untold_is_taken_for_cold() {
    let listed = |id| ServerChange::Listed(record(id));
    let mut servers = ServerList::default();
    servers.replace_all(vec![listed("a")], SECOND);

    servers.apply_change(listed("b"), 2 * SECOND);

    assert_eq!(use_of(&servers, "a", 2 * SECOND), ServerAvailability::Free);
    assert_eq!(use_of(&servers, "b", 2 * SECOND), cold(5 * SECOND));
    assert_eq!(use_of(&servers, "b", 5 * SECOND), ServerAvailability::Free);
}

#[test]
fn a_leaving_server_and_one_that_is_not_listed_say_so() {
    let mut servers = list_of(&["a"]);
    let leaving = ServerRecord {
        is_leaving: true,
        ..record("a")
    };
    servers.apply_change(ServerChange::Listed(leaving), SECOND);

    assert_eq!(use_of(&servers, "a", SECOND), ServerAvailability::Leaving);
    assert_eq!(use_of(&servers, "b", SECOND), ServerAvailability::Unlisted);
    assert!(!use_of(&servers, "a", SECOND).is_usable());
}

//! Servers that operators drain one by one.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/server_record.rs"]
mod server_record;

use std::time::Duration;

use amaranthscale_core::id::ServiceId;
use amaranthscale_core::process::{
    DRAIN_RETENTION, DrainChange, ServerAvailability, ServerChange, ServerDrain, ServerList,
    StaleDrains,
};
use server_record::record;

const SECOND: Duration = Duration::from_secs(1);

fn listed(ids: &[&str]) -> Vec<ServerChange> {
    let records = ids.iter().map(|id| ServerChange::Listed(record(id)));
    records.collect()
}

fn list_of(ids: &[&str]) -> ServerList {
    let mut servers = ServerList::default();
    servers.replace_all(listed(ids), Duration::ZERO);
    servers
}

fn drain() -> ServerDrain {
    ServerDrain::new("ben", 1_733_184_000_000).unwrap()
}

fn drained(server: &str) -> DrainChange {
    DrainChange {
        server: server.parse().unwrap(),
        state: Ok(Some(drain())),
    }
}

fn unreadable(server: &str) -> DrainChange {
    DrainChange {
        server: server.parse().unwrap(),
        state: Err("no object".to_owned()),
    }
}

fn availability(servers: &ServerList, server: &str) -> ServerAvailability {
    servers.availability(&server.parse().unwrap(), None, SECOND)
}

fn usable(servers: &ServerList) -> Vec<String> {
    let service: ServiceId = "scale".parse().unwrap();
    let usable = servers.usable(&service);
    usable.map(|one| one.incarnation.to_string()).collect()
}

/// Guards against a drain that stops other servers too, or that never ends.
#[test]
fn only_the_drained_server_gets_nothing_until_its_drain_ends() {
    let mut servers = list_of(&["a@5", "b@5"]);

    servers.apply_drains(vec![drained("a")], false);
    let during = (availability(&servers, "a@5"), usable(&servers));
    let ended = DrainChange {
        server: "a".parse().unwrap(),
        state: Ok(None),
    };
    servers.apply_drains(vec![ended], false);

    assert_eq!(
        during,
        (ServerAvailability::Evacuated, vec!["b@5".to_owned()])
    );
    assert_eq!(availability(&servers, "a@5"), ServerAvailability::Free);
}

/// Guards against a drain that a restart under the same id ends.
#[test]
fn a_new_incarnation_of_a_drained_server_is_drained() {
    let mut servers = list_of(&["a@5", "b@5"]);
    servers.apply_drains(vec![drained("a")], false);

    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);
    servers.apply_change(ServerChange::Listed(record("a@9")), SECOND);

    assert_eq!(availability(&servers, "a@9"), ServerAvailability::Evacuated);
}

/// Guards against drains that stay in force although their rows were removed unnoticed, and against
/// unreadable rows that begin or end one.
#[test]
fn a_complete_table_ends_the_drains_that_it_does_not_name() {
    let mut servers = list_of(&["a", "b", "c"]);
    servers.apply_drains(vec![drained("a"), drained("b")], false);

    let changed = servers.apply_drains(vec![unreadable("b"), unreadable("c")], true);

    assert_eq!(changed, [("a".parse().unwrap(), None)]);
    assert_eq!(availability(&servers, "a"), ServerAvailability::Free);
    assert_eq!(availability(&servers, "b"), ServerAvailability::Evacuated);
    assert_eq!(availability(&servers, "c"), ServerAvailability::Free);
}

/// Guards against rows that stay in the store for good, and against a drain that is removed while
/// its server restarts.
#[test]
fn a_drain_is_stale_once_its_server_was_not_listed_for_the_retention_time() {
    let mut servers = list_of(&["a", "b"]);
    servers.apply_drains(vec![drained("a")], false);
    let mut stale = StaleDrains::default();
    assert!(stale.update(&servers, DRAIN_RETENTION * 2).is_empty());
    servers.apply_change(ServerChange::Removed("a".parse().unwrap()), SECOND);
    let gone_at = DRAIN_RETENTION * 3;
    assert!(stale.update(&servers, gone_at).is_empty());

    let early = stale.update(&servers, gone_at + DRAIN_RETENTION / 2);
    let due = stale.update(&servers, gone_at + DRAIN_RETENTION);
    servers.apply_change(ServerChange::Listed(record("a")), gone_at);
    let listed_again = stale.update(&servers, gone_at + DRAIN_RETENTION);

    assert!(early.is_empty());
    assert_eq!(due, ["a".parse().unwrap()]);
    assert!(listed_again.is_empty());
}

/// Guards against a gateway that has not read the list, or cannot reach the store, and removes the
/// drains of servers that run.
#[test]
fn no_drain_is_stale_without_a_current_list() {
    let mut unread = ServerList::default();
    unread.apply_drains(vec![drained("a")], true);
    let mut cut_off = list_of(&["b"]);
    cut_off.apply_drains(vec![drained("a")], true);
    cut_off.store_lost();

    for servers in [unread, cut_off] {
        let mut stale = StaleDrains::default();
        stale.update(&servers, Duration::ZERO);

        assert!(stale.update(&servers, DRAIN_RETENTION * 2).is_empty());
    }
}

/// Guards against names that break log lines or fill the store.
#[test]
fn an_operators_name_is_bounded_and_has_no_control_characters() {
    let long = "n".repeat(129);
    let row = serde_json::from_str::<ServerDrain>(r#"{"by":"a\nb","at_ms":1}"#);

    assert!(ServerDrain::new("", 1).is_err());
    assert!(ServerDrain::new(long, 1).is_err());
    assert!(row.is_err());
    assert_eq!(ServerDrain::new("ben smith", 1).unwrap().by(), "ben smith");
}

//! Entries share the connections that servers accept.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::ZoneId;
use amaranthscale_core::process::{
    ConnectionShare, SendEnd, SendingEntry, ServerRecord, ServerSelector,
};

const NOW: Duration = Duration::from_secs(100);
const ZONES: u32 = 6;

fn zone(index: u32) -> ZoneId {
    format!("zone-{}", index % ZONES).parse().unwrap()
}

fn servers(count: u32) -> Vec<ServerRecord> {
    let server = |index: u32| ServerRecord {
        incarnation: format!("s{index}").parse().unwrap(),
        service: "scale".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone(index),
        slots: 6,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    };
    (0..count).map(server).collect()
}

/// Servers that an entry sends a number of concurrent requests to.
fn sent_to(entry: u32, concurrent: usize, servers: &[ServerRecord]) -> Vec<String> {
    let id = format!("entry-{entry}").parse().unwrap();
    let zone = zone(entry);
    let share = ConnectionShare::of(130, servers.len(), 100);
    let entry = SendingEntry::new(&id, &zone, share);
    let mut selector = ServerSelector::default();
    let send = |_| {
        let chosen = selector.select_plain(servers.iter().collect(), &BTreeSet::new(), entry, NOW);
        let incarnation = chosen.unwrap().incarnation.clone();
        selector.record_send(&incarnation);
        incarnation.to_string()
    };
    (0..concurrent).map(send).collect()
}

/// If a hundred gateways each kept connections to all twelve servers, these would exceed their
/// limit and reset connections together with the requests on them.
#[test]
fn a_hundred_entries_stay_within_the_connection_limit_of_twelve_servers() {
    let servers = servers(12);
    let mut users: BTreeMap<String, usize> = BTreeMap::new();
    for entry in 0..100 {
        let used: BTreeSet<_> = sent_to(entry, 8, &servers).into_iter().collect();
        for server in used {
            *users.entry(server).or_default() += 1;
        }
    }

    let each = ConnectionShare::of(130, 12, 100).connections();
    assert_eq!(users.len(), 12, "every server is used: {users:?}");
    assert!(users.values().all(|users| users * each <= 130), "{users:?}");
}

/// All gateways start at once after a power failure, without any load information. They must not
/// all send their first requests to the same server.
#[test]
fn entries_that_start_together_send_to_different_servers() {
    let servers = servers(12);
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for entry in 0..100 {
        *first
            .entry(sent_to(entry, 1, &servers).remove(0))
            .or_default() += 1;
    }

    assert!(first.len() >= 10, "{first:?}");
    assert!(first.values().all(|entries| *entries <= 25), "{first:?}");
}

/// An entry with far more requests than the others is not limited to its share.
#[test]
fn an_entry_beyond_its_share_uses_more_servers() {
    let servers = servers(12);

    let used: BTreeSet<_> = sent_to(1, 24, &servers).into_iter().collect();

    assert_eq!(used.len(), 12);
}

/// One of the servers that an entry uses fails. It continues with the others, and a server that it
/// did not use before takes the place of the failed one.
#[test]
fn an_ejected_server_is_replaced() {
    let servers = servers(12);
    let (id, zone) = ("entry-1".parse().unwrap(), zone(1));
    let entry = SendingEntry::new(&id, &zone, ConnectionShare::of(130, 12, 100));
    let mut selector = ServerSelector::default();
    let none = BTreeSet::new();
    let failing = selector
        .select_plain(servers.iter().collect(), &none, entry, NOW)
        .unwrap();
    for _ in 0..2 {
        selector.record_send(&failing.incarnation);
        selector.record_end(&failing.incarnation, SendEnd::Failed, Duration::ZERO, NOW);
    }

    let mut used = BTreeSet::new();
    for _ in 0..8 {
        let chosen = selector
            .select_plain(servers.iter().collect(), &none, entry, NOW)
            .unwrap();
        selector.record_send(&chosen.incarnation);
        used.insert(chosen.incarnation.clone());
    }

    assert_eq!(used.len(), 4);
    assert!(!used.contains(&failing.incarnation));
}

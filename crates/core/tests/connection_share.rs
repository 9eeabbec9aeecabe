//! How entries share the connections that servers take.

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
    };
    (0..count).map(server).collect()
}

/// Servers that an entry sends to when it has so many requests at once.
fn sent_to(entry: u32, at_once: usize, servers: &[ServerRecord]) -> Vec<String> {
    let id = format!("entry-{entry}").parse().unwrap();
    let zone = zone(entry);
    let share = ConnectionShare::of(130, servers.len(), 100);
    let entry = SendingEntry::new(&id, &zone, share);
    let mut choice = ServerSelector::default();
    let send = |_| {
        let chosen = choice.select_plain(servers.iter().collect(), &BTreeSet::new(), entry, NOW);
        let life = chosen.unwrap().incarnation.clone();
        choice.record_send(&life);
        life.to_string()
    };
    (0..at_once).map(send).collect()
}

/// A hundred gateways each kept connections to all twelve servers, more than those take, and the
/// servers reset what was too much with the requests in it.
#[test]
fn a_hundred_entries_keep_within_what_twelve_servers_take() {
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

/// All gateways start at once after a loss of power, and know nothing of the servers. They must not
/// all send their first requests to the same one.
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

/// An entry that has much more than its part of the requests is not held back by its share.
#[test]
fn beyond_its_share_an_entry_goes_to_other_servers() {
    let servers = servers(12);

    let used: BTreeSet<_> = sent_to(1, 24, &servers).into_iter().collect();

    assert_eq!(used.len(), 12);
}

/// One server of those that an entry keeps to fails: it goes on with the others, and one that it
/// did not use before takes the place.
#[test]
fn a_server_that_is_left_out_is_replaced() {
    let servers = servers(12);
    let (id, zone) = ("entry-1".parse().unwrap(), zone(1));
    let entry = SendingEntry::new(&id, &zone, ConnectionShare::of(130, 12, 100));
    let mut choice = ServerSelector::default();
    let none = BTreeSet::new();
    let sick = choice
        .select_plain(servers.iter().collect(), &none, entry, NOW)
        .unwrap();
    for _ in 0..2 {
        choice.record_send(&sick.incarnation);
        choice.record_end(&sick.incarnation, SendEnd::Failed, Duration::ZERO, NOW);
    }

    let mut used = BTreeSet::new();
    for _ in 0..8 {
        let chosen = choice
            .select_plain(servers.iter().collect(), &none, entry, NOW)
            .unwrap();
        choice.record_send(&chosen.incarnation);
        used.insert(chosen.incarnation.clone());
    }

    assert_eq!(used.len(), 4);
    assert!(!used.contains(&sick.incarnation));
}

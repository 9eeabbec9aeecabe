//! The few peers with which a process compares its settings tree.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use amaranthscale::version::exchange_peers;
use amaranthscale_core::wire::{HostRecord, HostState};

const HOSTS: u16 = 300;

fn host(number: u16) -> HostRecord {
    let named = |text: String| text.parse().expect("a valid name");
    HostRecord {
        host: named(format!("host-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], number + 1)),
        region: "region-1".parse().expect("a valid name"),
        zone: "zone-1".parse().expect("a valid name"),
        service: None,
        state: HostState::Live,
    }
}

fn hosts() -> Vec<HostRecord> {
    (0..HOSTS).map(host).collect()
}

/// An entry among a thousand processes compared its tree with a random one of all each time. After
/// some hours it held a connection to every process, and every process one to it.
#[test]
fn peers_are_few_and_none_is_the_host_itself() {
    // Arrange
    let hosts = hosts();

    // Act
    let peers = exchange_peers(&hosts[0].host, &hosts);

    // Assert
    assert_eq!(peers.len(), 16);
    assert!(!peers.contains(&hosts[0].address));
}

#[test]
fn a_host_that_goes_moves_one_peer_at_most() {
    // Arrange
    let hosts = hosts();
    let before: BTreeSet<_> = exchange_peers(&hosts[0].host, &hosts).into_iter().collect();
    let without_last = &hosts[..hosts.len() - 1];

    // Act
    let after: BTreeSet<_> = exchange_peers(&hosts[0].host, without_last)
        .into_iter()
        .collect();

    // Assert
    assert!(before.difference(&after).count() <= 1);
}

/// A table that goes down right after an edit leaves its spread to the peers alone; a process that
/// no chain of peers leads to would go by the old tree until the table is back.
#[test]
fn an_edit_reaches_every_host_by_peers_alone() {
    // Arrange: who asks whom.
    let hosts = hosts();
    let asked: Vec<Vec<SocketAddr>> = hosts
        .iter()
        .map(|record| exchange_peers(&record.host, &hosts))
        .collect();
    let mut has_edit = BTreeSet::from([hosts[0].address]);

    // Act: in each round, whoever has a peer with the edit takes it.
    let mut rounds = 0;
    while has_edit.len() < hosts.len() && rounds < 10 {
        let known = has_edit.clone();
        let pulls = hosts.iter().zip(&asked);
        let new = pulls.filter(|(_, peers)| peers.iter().any(|peer| known.contains(peer)));
        has_edit.extend(new.map(|(record, _)| record.address));
        rounds += 1;
    }

    // Assert
    assert_eq!(has_edit.len(), hosts.len());
}

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
/// some hours it had a connection to every process, and every process one to it.
#[test]
fn peers_are_bounded_and_exclude_the_host_itself() {
    // Arrange
    let hosts = hosts();

    // Act
    let peers = exchange_peers(&hosts[0].host, &hosts);

    // Assert
    assert_eq!(peers.len(), 16);
    assert!(!peers.contains(&hosts[0].address));
}

#[test]
fn removing_a_host_changes_at_most_one_peer() {
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

/// The table goes down right after an edit, so that only peers can spread it. A process that no
/// chain of peers reaches would use the old tree until the table is back.
#[test]
fn an_edit_reaches_every_host_through_peers_alone() {
    // Arrange: the peers of each host.
    let hosts = hosts();
    let peers_of: Vec<Vec<SocketAddr>> = hosts
        .iter()
        .map(|record| exchange_peers(&record.host, &hosts))
        .collect();
    let mut has_edit = BTreeSet::from([hosts[0].address]);

    // Act: in each round, every host that has a peer with the edit applies it.
    let mut rounds = 0;
    while has_edit.len() < hosts.len() && rounds < 10 {
        let known = has_edit.clone();
        let pulls = hosts.iter().zip(&peers_of);
        let new = pulls.filter(|(_, peers)| peers.iter().any(|peer| known.contains(peer)));
        has_edit.extend(new.map(|(record, _)| record.address));
        rounds += 1;
    }

    // Assert
    assert_eq!(has_edit.len(), hosts.len());
}

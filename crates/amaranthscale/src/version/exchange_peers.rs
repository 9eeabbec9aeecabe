//! The peers with which a process compares its settings tree.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::HostRecord;

/// Most peers of one process.
///
/// Each peer is an open connection at both ends, about 46 KiB of memory for each end. Without a
/// bound, an entry among a thousand processes would hold two thousand connections. Sixteen peers
/// keep the graph connected, so that a new edit reaches all processes in a few rounds even if some
/// peers are gone.
const MAX_EXCHANGE_PEERS: usize = 16;

/// Chooses a few of the candidates as a host's peers, the same ones each time.
///
/// A host that is added or removed changes at most one of them.
pub fn exchange_peers<'a>(
    own_host: &HostId,
    candidates: impl IntoIterator<Item = &'a HostRecord>,
) -> Vec<SocketAddr> {
    let others = candidates
        .into_iter()
        .filter(|record| record.host != *own_host);
    let scored = others.map(|record| (score(own_host, &record.host), record));
    let mut scored: Vec<_> = scored.collect();
    scored.sort_by_key(|(score, record)| (*score, record.address));
    scored.truncate(MAX_EXCHANGE_PEERS);
    scored
        .into_iter()
        .map(|(_score, record)| record.address)
        .collect()
}

/// Only this process uses the score, so it may differ between builds.
fn score(own_host: &HostId, host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own_host.as_str(), host.as_str()).hash(&mut hasher);
    hasher.finish()
}

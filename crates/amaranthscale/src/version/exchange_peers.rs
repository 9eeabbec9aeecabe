//! With which processes a process compares its settings tree.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::HostRecord;

/// Most peers of one process.
///
/// Each peer is an open connection at both ends, about 46 KiB of memory for each end. Without a
/// bound an entry among a thousand processes comes to hold two thousand connections. Sixteen keep
/// the graph of peers connected, and a new edit reaches all in a few rounds, also when some of
/// them are gone.
const MAX_EXCHANGE_PEERS: usize = 16;

/// Chooses the peers of a host: its own few of the candidates, and the same ones each time.
///
/// A host that comes or goes moves at most one of them.
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

/// Only this process goes by the score, so it may differ from one build to the next.
fn score(own_host: &HostId, host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own_host.as_str(), host.as_str()).hash(&mut hasher);
    hasher.finish()
}

//! An entry's share of the connections that a service's servers take.
//!
//! A server takes so many connections from all entries together, fewer while its queue is long, and
//! resets what comes beyond that, with the request that it carries. Where there are many entries
//! and few servers, entries that each use all servers keep more connections open than the servers
//! take. So each keeps to some of the servers: half of them near ones, the rest by rendezvous hash,
//! so that every server has about as many users and few change when a server or an entry comes or
//! goes. The number of entries and the servers' bound are what all of them know without a word.

use std::cmp::Reverse;

use super::rendezvous;
use super::server_list::ServerRecord;
use crate::id::ZoneId;

/// Part of the servers' connections that entries keep to: servers take fewer while their queues are
/// long, and entries that start count too few others for a moment.
const USED_PERCENT: usize = 50;
/// Connections to one server that an entry has use for: with fewer, requests that come together
/// have to go elsewhere.
const LEAST_EACH: usize = 4;
/// Fewest servers that an entry keeps to: two that fail or leave at once still leave a choice.
const LEAST_SERVERS: usize = 4;
/// Fewest connections to one server, however many entries there are.
const FEWEST_EACH: usize = 2;

/// Servers that an entry keeps to, and its connections to each of them.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::ConnectionShare;
///
/// // Few entries: each uses all servers.
/// let share = ConnectionShare::of(100, 4, 5);
/// assert_eq!((share.servers(), share.connections()), (4, 10));
/// // A hundred entries before twelve servers of 130 connections.
/// let share = ConnectionShare::of(130, 12, 100);
/// assert_eq!((share.servers(), share.connections()), (4, 2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    servers: usize,
    connections: usize,
}

impl ConnectionShare {
    /// All servers, without a bound.
    pub const UNLIMITED: Self = Self {
        servers: usize::MAX,
        connections: usize::MAX,
    };

    /// The share of one of so many entries at servers that take so many connections each.
    #[must_use]
    pub fn of(max_connections: usize, servers: usize, entries: usize) -> Self {
        let entries = entries.max(1);
        let usable = max_connections * USED_PERCENT / 100;
        let all = usable * servers / entries;
        let kept_to = (all / LEAST_EACH).max(LEAST_SERVERS).min(servers);
        Self {
            servers: kept_to,
            connections: (all / kept_to.max(1)).max(FEWEST_EACH),
        }
    }

    /// Servers that the entry keeps to.
    #[must_use]
    pub const fn servers(self) -> usize {
        self.servers
    }

    /// Connections to each of them, at work and idle.
    #[must_use]
    pub const fn connections(self) -> usize {
        self.connections
    }

    /// The servers that an entry in a zone keeps to; its seed tells it from the others.
    pub(super) fn keep_to<'a>(
        self,
        mut servers: Vec<&'a ServerRecord>,
        zone: &ZoneId,
        seed: u64,
    ) -> Vec<&'a ServerRecord> {
        if servers.len() <= self.servers {
            return servers;
        }
        servers
            .sort_by_cached_key(|server| Reverse(rendezvous::score(seed, server.incarnation.id())));
        let mut near_left = self.servers / 2;
        let (mut kept, rest): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| {
            let is_kept = server.zone == *zone && near_left > 0;
            near_left -= usize::from(is_kept);
            is_kept
        });
        let others = self.servers - kept.len();
        kept.extend(rest.into_iter().take(others));
        kept
    }
}

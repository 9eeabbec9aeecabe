//! An entry's share of the connections that a service's servers accept.
//!
//! A server accepts a limited number of connections from all entries together, fewer while its
//! queue is long, and resets further ones together with their requests. With many entries and few
//! servers, entries that each use all servers open more connections than the servers accept. So
//! each entry uses a subset of the servers: half from its own zone, the rest by rendezvous hash, so
//! that all servers have about the same number of users, and few assignments change when a server
//! or an entry is added or removed. All entries know the number of entries and the servers' limit,
//! so no communication is needed.

use std::cmp::Reverse;

use super::rendezvous;
use super::server_list::ServerRecord;
use crate::id::ZoneId;

/// Percentage of the servers' connections that entries use: servers accept fewer while their queues
/// are long, and starting entries count too few others for a moment.
const USED_PERCENT: usize = 50;
/// Connections to one server that an entry can make use of: with fewer, simultaneous requests have
/// to go elsewhere.
const MIN_USEFUL_CONNECTIONS: usize = 4;
/// Fewest servers that an entry uses: if two of them fail or leave at once, there is still a
/// choice.
const MIN_SERVERS: usize = 4;
/// Fewest connections to one server, regardless of the number of entries.
const MIN_CONNECTIONS: usize = 2;

/// Number of servers that an entry uses, and its connections to each of them.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::ConnectionShare;
///
/// // Few entries: each uses all servers.
/// let share = ConnectionShare::of(100, 4, 5);
/// assert_eq!((share.servers(), share.connections()), (4, 10));
/// // A hundred entries and twelve servers that accept 130 connections.
/// let share = ConnectionShare::of(130, 12, 100);
/// assert_eq!((share.servers(), share.connections()), (4, 2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    servers: usize,
    connections: usize,
}

impl ConnectionShare {
    /// All servers, without a limit.
    pub const UNLIMITED: Self = Self {
        servers: usize::MAX,
        connections: usize::MAX,
    };

    /// The share of one entry, given the connections that each server accepts and the numbers of
    /// servers and entries.
    #[must_use]
    pub fn of(max_connections: usize, servers: usize, entries: usize) -> Self {
        let entries = entries.max(1);
        let usable = max_connections * USED_PERCENT / 100;
        let total = usable * servers / entries;
        let servers_used = (total / MIN_USEFUL_CONNECTIONS)
            .max(MIN_SERVERS)
            .min(servers);
        Self {
            servers: servers_used,
            connections: (total / servers_used.max(1)).max(MIN_CONNECTIONS),
        }
    }

    /// Servers that the entry uses.
    #[must_use]
    pub const fn servers(self) -> usize {
        self.servers
    }

    /// Connections to each of them, active and idle.
    #[must_use]
    pub const fn connections(self) -> usize {
        self.connections
    }

    /// The servers that an entry in a zone uses; its seed distinguishes it from other entries.
    pub(super) fn select_servers<'a>(
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
        let mut same_zone_left = self.servers / 2;
        let (mut selected, rest): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| {
            let is_selected = server.zone == *zone && same_zone_left > 0;
            same_zone_left -= usize::from(is_selected);
            is_selected
        });
        let remaining = self.servers - selected.len();
        selected.extend(rest.into_iter().take(remaining));
        selected
    }
}

//! The entries of a deployment, as one of them sees them.
//!
//! Entries announce themselves in the store once. Whether one still lives is learnt by those that
//! talk to it: a silent one is passed over for a while. An order by rendezvous hash gives every
//! entry the same first choice without a word; while views differ, two entries may both act, which
//! the callers of this module must bear.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous;
use crate::id::InstanceId;

/// How long an entry that fell silent is passed over before it is tried again.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// Silence after which an announcement may be removed for an entry that nobody reaches.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
struct Seen {
    address: SocketAddr,
    silent_since: Option<Duration>,
    passed_over_until: Duration,
}

/// All entries with what is known of their life.
#[derive(Debug, Clone)]
pub struct InstanceView {
    own: InstanceId,
    instances: BTreeMap<InstanceId, Seen>,
}

impl InstanceView {
    /// A view that knows only the entry itself.
    #[must_use]
    pub fn new(own: InstanceId, address: SocketAddr) -> Self {
        let mut view = Self {
            own: own.clone(),
            instances: BTreeMap::new(),
        };
        view.announced(own, address);
        view
    }

    /// Name of the entry itself.
    #[must_use]
    pub const fn own(&self) -> &InstanceId {
        &self.own
    }

    /// Takes an announcement.
    ///
    /// A new life at the same address ends the old one: an address has one process.
    pub fn announced(&mut self, id: InstanceId, address: SocketAddr) {
        let is_own = id == self.own;
        if !is_own && self.instances.contains_key(&id) {
            return;
        }
        let own = self.own.clone();
        self.instances
            .retain(|known, seen| *known == own || seen.address != address);
        let seen = Seen {
            address,
            silent_since: None,
            passed_over_until: Duration::ZERO,
        };
        self.instances.insert(id, seen);
    }

    /// Takes the end of an announcement.
    pub fn withdrawn(&mut self, id: &InstanceId) {
        if *id != self.own {
            self.instances.remove(id);
        }
    }

    /// Keeps only what a whole list of announcements names.
    pub fn keep_only(&mut self, ids: &[InstanceId]) {
        let own = self.own.clone();
        self.instances
            .retain(|id, _| *id == own || ids.contains(id));
    }

    /// Notes that an entry answered.
    pub fn heard(&mut self, id: &InstanceId) {
        if let Some(seen) = self.instances.get_mut(id) {
            seen.silent_since = None;
            seen.passed_over_until = Duration::ZERO;
        }
    }

    /// Notes that an entry did not answer.
    pub fn silent(&mut self, id: &InstanceId, now: Duration) {
        if *id == self.own {
            return;
        }
        if let Some(seen) = self.instances.get_mut(id) {
            seen.silent_since.get_or_insert(now);
            seen.passed_over_until = now + PASSED_OVER;
        }
    }

    /// Entries that nobody here has reached for long.
    #[must_use]
    pub fn forgotten(&self, now: Duration) -> Vec<InstanceId> {
        let is_forgotten = |seen: &Seen| {
            seen.silent_since
                .is_some_and(|since| now.saturating_sub(since) >= FORGOTTEN_AFTER)
        };
        let forgotten = self.instances.iter().filter(|(_, seen)| is_forgotten(seen));
        forgotten.map(|(id, _)| id.clone()).collect()
    }

    /// Entries that are not passed over, the entry itself among them.
    #[must_use]
    pub fn live(&self, now: Duration) -> usize {
        let is_live = |seen: &&Seen| seen.passed_over_until <= now;
        self.instances.values().filter(is_live).count().max(1)
    }

    /// The entry that acts for a name: first by rendezvous among those not passed over.
    #[must_use]
    pub fn owner_of(&self, name: &str, now: Duration) -> (InstanceId, SocketAddr) {
        let live = self
            .instances
            .iter()
            .filter(|(id, seen)| **id == self.own || seen.passed_over_until <= now);
        let seed = rendezvous::score(0, name);
        let best = live.max_by_key(|(id, _)| rendezvous::score(seed, id));
        let (id, found) = best.unwrap_or_else(|| {
            // The own entry is never removed, so the view is never empty.
            unreachable!("the view holds its own entry")
        });
        (id.clone(), found.address)
    }
}

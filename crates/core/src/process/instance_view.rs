//! The entries of a deployment, as seen by one of them.
//!
//! Entries announce themselves once in the store. Whether one is alive is observed by those that
//! communicate with it: an unresponsive entry is skipped for a while. One entry is the owner: the
//! one with the most processor capacity, and among equals the one with the oldest announcement, so
//! that a new entry rarely takes over. Where the work is partitioned into cells, each cell has one
//! of the strongest entries as its owner, by rendezvous hash of their addresses. Every entry
//! computes the same order without communication. While views differ, two entries may both act as
//! owner, which the callers of this module must tolerate.
//!
//! After a power failure the announcements of ended incarnations are still listed. An entry that
//! finds one at its own address takes its place in all orders until its own announcement is listed,
//! as the others still reach it by that address. So owners and readers are known before any entry
//! has announced itself again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Cell, StartPlan, rendezvous};
use crate::id::{InstanceId, RowVersion, ZoneId};

/// How long an unresponsive entry is skipped before it is tried again.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(3);
/// Time without a response after which an entry's announcement may be removed.
const EXPIRED_AFTER: Duration = Duration::from_secs(12);

/// Fewest entries of an availability zone for which one entry reads the store: with fewer, hardly
/// any call is saved, and each loss of the reader makes the others ask once more.
const MIN_ENTRIES_PER_READER: usize = 4;

/// What an entry announces about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address for connections of other entries.
    pub address: SocketAddr,
    /// Thousandths of a core that it may use.
    pub millicores: u32,
    /// Its availability zone; none if it is not announced.
    #[serde(default)]
    pub zone: Option<ZoneId>,
}

/// Which entry reads the store for the entries of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReader {
    /// Each entry for itself, as there are too few to benefit.
    Each,
    /// This entry, for all entries of the zone.
    This,
    /// Another entry, with its address.
    Other(InstanceId, SocketAddr),
}

/// Order of owners: unannounced last, then strength, age and id.
type OwnerPriority<'a> = (bool, Reverse<u32>, Option<RowVersion>, &'a InstanceId);

#[derive(Debug, Clone)]
struct KnownInstance {
    announcement: Announcement,
    /// Version of the announcement; none while it is not in the store.
    version: Option<RowVersion>,
    unresponsive_since: Option<Duration>,
    unresponsive_until: Duration,
}

/// All known entries and whether they respond.
#[derive(Debug, Clone)]
pub struct InstanceView {
    own: InstanceId,
    own_address: SocketAddr,
    instances: BTreeMap<InstanceId, KnownInstance>,
    by_address: BTreeMap<SocketAddr, InstanceId>,
    /// Version of the entry's own announcement; none while it is not listed.
    own_version: Option<RowVersion>,
    /// Listed announcements of ended incarnations at the entry's own address.
    former: BTreeMap<InstanceId, RowVersion>,
    /// Whether the entry itself is about to stop.
    is_leaving: bool,
}

impl InstanceView {
    /// A view that only contains the entry itself.
    #[must_use]
    pub fn new(own: InstanceId, announcement: Announcement) -> Self {
        let own_address = announcement.address;
        let instance = KnownInstance::new(announcement, None);
        Self {
            own: own.clone(),
            own_address,
            by_address: BTreeMap::from([(own_address, own.clone())]),
            instances: BTreeMap::from([(own, instance)]),
            own_version: None,
            former: BTreeMap::new(),
            is_leaving: false,
        }
    }

    /// Lets other entries become owner instead of this one, if there are any.
    pub const fn step_down(&mut self) {
        self.is_leaving = true;
    }

    /// Id of the entry itself.
    #[must_use]
    pub const fn own(&self) -> &InstanceId {
        &self.own
    }

    /// Adds an announcement; returns whether the entry is new.
    ///
    /// A new incarnation at the same address replaces the old one, as an address has one process.
    pub fn announced(
        &mut self,
        id: InstanceId,
        announcement: Announcement,
        version: RowVersion,
    ) -> bool {
        if id == self.own {
            self.own_version = Some(version);
            self.update_own_version();
            return false;
        }
        if let Some(known) = self.instances.get_mut(&id) {
            known.version = Some(version);
            return false;
        }
        if announcement.address == self.own_address {
            self.former.insert(id, version);
            self.update_own_version();
            return false;
        }
        if let Some(ended) = self.by_address.get(&announcement.address) {
            // After a power failure the announcement of the dead incarnation still exists, and rows
            // arrive in the order of their ids: the older one must not replace the one that is
            // alive.
            let known = self.instances.get(ended);
            if known.is_some_and(|known| known.version > Some(version)) {
                return false;
            }
            self.instances.remove(ended);
        }
        self.by_address.insert(announcement.address, id.clone());
        self.instances
            .insert(id, KnownInstance::new(announcement, Some(version)));
        true
    }

    /// Ended incarnations at the entry's own address whose announcements are still listed.
    #[must_use]
    pub fn former(&self) -> Vec<InstanceId> {
        self.former.keys().cloned().collect()
    }

    /// Whether the entry's own announcement is listed.
    #[must_use]
    pub const fn is_own_listed(&self) -> bool {
        self.own_version.is_some()
    }

    /// The entry counts as announced while an ended incarnation at its address does.
    fn update_own_version(&mut self) {
        let version = self.own_version.or(self.former.values().max().copied());
        if let Some(own) = self.instances.get_mut(&self.own) {
            own.version = version;
        }
    }

    fn remove(&mut self, id: &InstanceId) {
        let Some(removed) = self.instances.remove(id) else {
            return;
        };
        let address = removed.announcement.address;
        if self.by_address.get(&address) == Some(id) {
            self.by_address.remove(&address);
        }
    }

    /// Removes an announcement.
    pub fn withdrawn(&mut self, id: &InstanceId) {
        if *id == self.own {
            self.own_version = None;
        } else {
            self.former.remove(id);
            self.remove(id);
        }
        self.update_own_version();
    }

    /// Keeps only the announcements of a complete list, and the entry itself.
    ///
    /// Guards against an announcement that was removed while no changes were received, as when the
    /// store had lost its history: if an entry still counted on its own removed announcement, it
    /// would name itself as owner, and all others another entry.
    pub fn retain_listed(&mut self, ids: &BTreeSet<InstanceId>) {
        let own = self.own.clone();
        self.instances
            .retain(|id, _| *id == own || ids.contains(id));
        let instances = &self.instances;
        self.by_address.retain(|_, id| instances.contains_key(id));
        self.former.retain(|id, _| ids.contains(id));
        if !ids.contains(&own) {
            self.own_version = None;
        }
        self.update_own_version();
    }

    /// Records that an entry responded.
    pub fn mark_responsive(&mut self, id: &InstanceId) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.unresponsive_since = None;
            instance.unresponsive_until = Duration::ZERO;
        }
    }

    /// Records that an entry did not respond.
    pub fn mark_unresponsive(&mut self, id: &InstanceId, now: Duration) {
        if *id == self.own {
            return;
        }
        if let Some(instance) = self.instances.get_mut(id) {
            instance.unresponsive_since.get_or_insert(now);
            instance.unresponsive_until = now + UNRESPONSIVE_PERIOD;
        }
    }

    /// Unresponsive entries with their addresses.
    #[must_use]
    pub fn unresponsive(&self, now: Duration) -> Vec<(InstanceId, SocketAddr)> {
        self.with_addresses(|_, instance| instance.is_unresponsive(now))
    }

    /// Unresponsive entries that this one has replaced as owner.
    ///
    /// Their announcements should be removed; an entry that is alive announces itself again, as the
    /// youngest. Guards against an entry that freezes or is partitioned for a while: if it became
    /// owner again as soon as it responds, that would be a second change of owner, and each change
    /// loses started work.
    #[must_use]
    pub fn displaced(&self, now: Duration) -> Vec<InstanceId> {
        if *self.owner(Cell::SINGLE, now).0 != self.own {
            return Vec::new();
        }
        let Some(own) = self.instances.get(&self.own) else {
            return Vec::new();
        };
        let own_priority = own.priority(&self.own);
        let is_before = |id: &InstanceId, instance: &KnownInstance| {
            instance.is_unresponsive(now) && instance.priority(id) < own_priority
        };
        let before = self
            .instances
            .iter()
            .filter(|(id, instance)| is_before(id, instance));
        before.map(|(id, _)| id.clone()).collect()
    }

    /// Other entries that are not unresponsive, with their addresses.
    #[must_use]
    pub fn live_others(&self, now: Duration) -> Vec<(InstanceId, SocketAddr)> {
        self.with_addresses(|id, instance| *id != self.own && !instance.is_unresponsive(now))
    }

    /// Entries that this one has not reached for long.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<InstanceId> {
        let is_expired = |instance: &KnownInstance| {
            instance
                .unresponsive_since
                .is_some_and(|since| now.saturating_sub(since) >= EXPIRED_AFTER)
        };
        let expired = self
            .instances
            .iter()
            .filter(|(_, instance)| is_expired(instance));
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Number of entries that are not unresponsive, including this one.
    #[must_use]
    pub fn live_count(&self, now: Duration) -> usize {
        let is_live = |instance: &&KnownInstance| !instance.is_unresponsive(now);
        self.instances.values().filter(is_live).count().max(1)
    }

    /// Number of announced entries, including this one and unresponsive ones.
    ///
    /// Shares of common limits are divided by it: an unresponsive entry may only be cut off from
    /// this one.
    #[must_use]
    pub fn announced_count(&self) -> usize {
        self.instances.len()
    }

    /// Addresses of all announced entries, including unresponsive ones; none while the entry itself
    /// is not announced or is about to stop.
    ///
    /// Shares of common limits are computed from these addresses: an unresponsive entry may only be
    /// unreachable from here, and an entry that the others do not see is not part of their sums.
    #[must_use]
    pub fn announced_addresses(&self) -> Vec<SocketAddr> {
        let own = self.instances.get(&self.own);
        if self.is_leaving || own.is_none_or(|own| own.version.is_none()) {
            return Vec::new();
        }
        let instances = self.instances.values();
        instances
            .map(|instance| instance.announcement.address)
            .collect()
    }

    /// Address of the entry itself.
    #[must_use]
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The owner of a cell: the first in order among entries that are not unresponsive.
    #[must_use]
    pub fn owner(&self, cell: Cell, now: Duration) -> (&InstanceId, SocketAddr) {
        let live = || {
            let instances = self.instances.iter();
            instances.filter(|(_, instance)| !instance.is_unresponsive(now))
        };
        let rank = |id: &InstanceId, instance: &KnownInstance| {
            let (is_unannounced, strength, ..) = instance.priority(id);
            (self.is_leaving && *id == self.own, is_unannounced, strength)
        };
        // Scores are computed for the strongest only, as there may be hundreds of entries.
        let first = live().map(|(id, instance)| rank(id, instance)).min();
        let strongest = live().filter(|(id, instance)| Some(rank(id, instance)) == first);
        let owner = strongest.min_by_key(|(id, instance)| {
            let by_hash = || Reverse(instance.score(cell.index().into()));
            let score = (!cell.is_single()).then(by_hash);
            (score, instance.version, *id)
        });
        let (id, found) = owner.unwrap_or_else(|| {
            // The entry itself is never removed, so the view is never empty.
            unreachable!("the view holds its own entry")
        });
        (id, found.announcement.address)
    }

    /// The entry of the same availability zone that reads the store for the others: the first in
    /// order. Some may be excluded, such as entries that had no news. Entries with different views
    /// may name each other as reader, so information received through another entry is dated by the
    /// store's own clock only.
    #[must_use]
    pub fn reader(&self, now: Duration, is_excluded: impl Fn(&InstanceId) -> bool) -> StoreReader {
        let in_order = self.readers_in_order(now);
        if in_order.len() < MIN_ENTRIES_PER_READER {
            return StoreReader::Each;
        }
        let mut usable = in_order
            .into_iter()
            .filter(|(id, _)| *id == self.own || !is_excluded(id));
        match usable.next() {
            Some((id, address)) if id != self.own => StoreReader::Other(id, address),
            // The entry itself is never excluded.
            _ => StoreReader::This,
        }
    }

    /// From where the entry reads the store's tables at its start.
    #[must_use]
    pub fn start_plan(&self, now: Duration) -> StartPlan {
        let in_order = self.readers_in_order(now);
        if in_order.len() < MIN_ENTRIES_PER_READER {
            return StartPlan::default();
        }
        let before = in_order.into_iter().take_while(|(id, _)| *id != self.own);
        StartPlan::behind(before.collect())
    }

    /// The entries of the same availability zone in the order in which they read the store for the
    /// others: the strongest first, and equals by rendezvous hash of their addresses, which stay
    /// the same when they restart.
    fn readers_in_order(&self, now: Duration) -> Vec<(InstanceId, SocketAddr)> {
        let own = self.instances.get(&self.own);
        let Some(zone) = own.and_then(|own| own.announcement.zone.as_ref()) else {
            return Vec::new();
        };
        let zone_seed = rendezvous::score(0, zone);
        let in_zone = self.instances.iter().filter(|(_, instance)| {
            !instance.is_unresponsive(now) && instance.announcement.zone.as_ref() == Some(zone)
        });
        let mut in_zone: Vec<_> = in_zone.collect();
        in_zone.sort_by_cached_key(|(id, instance)| {
            let (_, strength, ..) = instance.priority(id);
            let is_leaving = self.is_leaving && **id == self.own;
            (is_leaving, strength, instance.score(zone_seed), *id)
        });
        let in_zone = in_zone.into_iter();
        let with_addresses =
            in_zone.map(|(id, instance)| (id.clone(), instance.announcement.address));
        with_addresses.collect()
    }

    fn with_addresses(
        &self,
        is_selected: impl Fn(&InstanceId, &KnownInstance) -> bool,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let selected = self
            .instances
            .iter()
            .filter(|(id, instance)| is_selected(id, instance));
        let with_addresses =
            selected.map(|(id, instance)| (id.clone(), instance.announcement.address));
        with_addresses.collect()
    }
}

impl KnownInstance {
    /// Position in the order of owners.
    fn priority<'a>(&self, id: &'a InstanceId) -> OwnerPriority<'a> {
        let strength = Reverse(self.announcement.millicores);
        // Entries without an announcement in the store come last.
        (self.version.is_none(), strength, self.version, id)
    }

    /// Rendezvous score of its address.
    fn score(&self, seed: u64) -> u64 {
        rendezvous::score(seed, self.announcement.address.to_string())
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        self.unresponsive_until > now
    }

    const fn new(announcement: Announcement, version: Option<RowVersion>) -> Self {
        Self {
            announcement,
            version,
            unresponsive_since: None,
            unresponsive_until: Duration::ZERO,
        }
    }
}

//! The entries of a deployment, as one of them sees them.
//!
//! Entries announce themselves in the store once. Whether one still lives is learnt by those that
//! talk to it: a silent one is passed over for a while. One acts for all: the strongest machine, and
//! among equals the one whose announcement is the oldest, so that one that joins rarely takes over.
//! Where work is dealt out to cells, each has one of the strongest, by rendezvous hash.
//! Every entry sees the same order without a word. While views differ, two entries may both act,
//! which the callers of this module must bear.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Cell, rendezvous};
use crate::id::{InstanceId, RowVersion, ZoneId};

/// How long an entry that fell silent is passed over before it is tried again.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// Silence after which an announcement may be removed for an entry that nobody reaches.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(12);

/// Fewest entries of an availability zone of which one reads the store for all: with fewer, hardly
/// a call is saved, and each loss of the one makes the others ask once more.
const LEAST_READ_FOR: usize = 4;

/// What an entry announces of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Where other entries connect.
    pub address: SocketAddr,
    /// Thousandths of a core that it may use.
    pub millicores: u32,
    /// Its availability zone; none where it does not say.
    #[serde(default)]
    pub zone: Option<ZoneId>,
}

/// Who reads the store for the entries of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReader {
    /// Each for itself: there are too few to gain by anything else.
    Each,
    /// This entry, for all.
    This,
    /// Another entry, and where it is.
    Other(InstanceId, SocketAddr),
}

/// Order of those that act: not seen, weakness, age, name.
type Place<'a> = (bool, Reverse<u32>, Option<RowVersion>, &'a InstanceId);

#[derive(Debug, Clone)]
struct Seen {
    announcement: Announcement,
    /// Version of the announcement; none while it is not seen in the store.
    since: Option<RowVersion>,
    silent_since: Option<Duration>,
    passed_over_until: Duration,
}

/// All entries with what is known of their life.
#[derive(Debug, Clone)]
pub struct InstanceView {
    own: InstanceId,
    own_address: SocketAddr,
    instances: BTreeMap<InstanceId, Seen>,
    /// Whether the entry itself is about to stop.
    is_leaving: bool,
}

impl InstanceView {
    /// A view that knows only the entry itself.
    #[must_use]
    pub fn new(own: InstanceId, announcement: Announcement) -> Self {
        let own_address = announcement.address;
        let seen = Seen::new(announcement, None);
        Self {
            own: own.clone(),
            own_address,
            instances: BTreeMap::from([(own, seen)]),
            is_leaving: false,
        }
    }

    /// Lets the others act in the entry's place, as long as there is one.
    pub const fn step_down(&mut self) {
        self.is_leaving = true;
    }

    /// Name of the entry itself.
    #[must_use]
    pub const fn own(&self) -> &InstanceId {
        &self.own
    }

    /// Takes an announcement; says whether it is of an entry that was not known.
    ///
    /// A new life at the same address ends the old one: an address has one process.
    pub fn announced(
        &mut self,
        id: InstanceId,
        announcement: Announcement,
        since: RowVersion,
    ) -> bool {
        if let Some(known) = self.instances.get_mut(&id) {
            known.since = Some(since);
            return false;
        }
        let at_address = self
            .instances
            .iter()
            .find(|(_, seen)| seen.announcement.address == announcement.address);
        if let Some((known, seen)) = at_address {
            // After a loss of power the dead life's announcement is still there, and rows come in
            // the order of their names: the older one must not hide the one that lives.
            if *known == self.own || seen.since > Some(since) {
                return false;
            }
            let ended = known.clone();
            self.instances.remove(&ended);
        }
        self.instances
            .insert(id, Seen::new(announcement, Some(since)));
        true
    }

    /// Takes the end of an announcement.
    pub fn withdrawn(&mut self, id: &InstanceId) {
        if *id != self.own {
            self.instances.remove(id);
        } else if let Some(own) = self.instances.get_mut(id) {
            own.since = None;
        }
    }

    /// Keeps only what a whole list of announcements names; the entry itself stays.
    ///
    /// Guards against an announcement that was removed while nothing was told, as while the store
    /// had lost its history: taken for there, the entry would name itself and all others another.
    pub fn retain_listed(&mut self, ids: &[InstanceId]) {
        let own = self.own.clone();
        self.instances
            .retain(|id, _| *id == own || ids.contains(id));
        if !ids.contains(&own) {
            self.withdrawn(&own);
        }
    }

    /// Notes that an entry answered.
    pub fn mark_responsive(&mut self, id: &InstanceId) {
        if let Some(seen) = self.instances.get_mut(id) {
            seen.silent_since = None;
            seen.passed_over_until = Duration::ZERO;
        }
    }

    /// Notes that an entry did not answer.
    pub fn mark_unresponsive(&mut self, id: &InstanceId, now: Duration) {
        if *id == self.own {
            return;
        }
        if let Some(seen) = self.instances.get_mut(id) {
            seen.silent_since.get_or_insert(now);
            seen.passed_over_until = now + PASSED_OVER;
        }
    }

    /// Entries that are passed over, and where they were.
    #[must_use]
    pub fn unresponsive(&self, now: Duration) -> Vec<(InstanceId, SocketAddr)> {
        self.addressed(|_, seen| seen.is_passed_over(now))
    }

    /// Entries that act no longer, because this one does in their place.
    ///
    /// Their announcements are to be removed: one that lives announces itself anew, as the youngest.
    /// Guards against an entry that freezes or is cut off for a while: taken back as the first when
    /// it answers again, it would cost a second change of the one that acts, and each one loses
    /// what was begun.
    #[must_use]
    pub fn displaced(&self, now: Duration) -> Vec<InstanceId> {
        if *self.owner(Cell::SINGLE, now).0 != self.own {
            return Vec::new();
        }
        let Some(own) = self.instances.get(&self.own) else {
            return Vec::new();
        };
        let own_place = own.place(&self.own);
        let is_before =
            |id: &InstanceId, seen: &Seen| seen.is_passed_over(now) && seen.place(id) < own_place;
        let before = self
            .instances
            .iter()
            .filter(|(id, seen)| is_before(id, seen));
        before.map(|(id, _)| id.clone()).collect()
    }

    /// Other entries that are not passed over, and where they are.
    #[must_use]
    pub fn live_others(&self, now: Duration) -> Vec<(InstanceId, SocketAddr)> {
        self.addressed(|id, seen| *id != self.own && !seen.is_passed_over(now))
    }

    /// Entries that nobody here has reached for long.
    #[must_use]
    pub fn expired(&self, now: Duration) -> Vec<InstanceId> {
        let is_forgotten = |seen: &Seen| {
            seen.silent_since
                .is_some_and(|since| now.saturating_sub(since) >= FORGOTTEN_AFTER)
        };
        let forgotten = self.instances.iter().filter(|(_, seen)| is_forgotten(seen));
        forgotten.map(|(id, _)| id.clone()).collect()
    }

    /// Entries that are not passed over, the entry itself among them.
    #[must_use]
    pub fn live_count(&self, now: Duration) -> usize {
        let is_live = |seen: &&Seen| !seen.is_passed_over(now);
        self.instances.values().filter(is_live).count().max(1)
    }

    /// Addresses of all entries that are announced, silent ones too; none while the entry itself is
    /// not, or is about to stop.
    ///
    /// Shares of what all entries may do together are worked out by these: one that fell silent may
    /// only be out of this one's reach, and one that the others do not see is not in their sums.
    #[must_use]
    pub fn announced_addresses(&self) -> Vec<SocketAddr> {
        let own = self.instances.get(&self.own);
        if self.is_leaving || own.is_none_or(|own| own.since.is_none()) {
            return Vec::new();
        }
        let seen = self.instances.values();
        seen.map(|seen| seen.announcement.address).collect()
    }

    /// Where the entry itself is.
    #[must_use]
    pub const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The entry that acts for a cell: the first in order among those not passed over.
    #[must_use]
    pub fn owner(&self, cell: Cell, now: Duration) -> (&InstanceId, SocketAddr) {
        let live = self
            .instances
            .iter()
            .filter(|(_, seen)| !seen.is_passed_over(now));
        let placed = live.map(|(id, seen)| {
            let by_hash = || Reverse(rendezvous::score(cell.index().into(), id.as_str()));
            let score = (!cell.is_single()).then(by_hash);
            let (is_unseen, weakness, since, id) = seen.place(id);
            let is_leaving = self.is_leaving && *id == self.own;
            ((is_leaving, is_unseen, weakness, score, since, id), seen)
        });
        let first = placed.min_by(|(a, _), (b, _)| a.cmp(b));
        let ((.., id), found) = first.unwrap_or_else(|| {
            // The own entry is never removed, so the view is never empty.
            unreachable!("the view holds its own entry")
        });
        (id, found.announcement.address)
    }

    /// The entry of the same availability zone that reads the store for the others: the strongest,
    /// and among equals one by rendezvous hash. Some may be left out, as those that had nothing new
    /// to tell. Entries with different views may name each other, so what is heard through another
    /// counts by the store's own clock only.
    #[must_use]
    pub fn reader(&self, now: Duration, is_left_out: impl Fn(&InstanceId) -> bool) -> StoreReader {
        let own = self.instances.get(&self.own);
        let Some(zone) = own.and_then(|own| own.announcement.zone.as_ref()) else {
            return StoreReader::Each;
        };
        let zone_seed = rendezvous::score(0, zone);
        let in_zone = self.instances.iter().filter(|(_, seen)| {
            !seen.is_passed_over(now) && seen.announcement.zone.as_ref() == Some(zone)
        });
        let in_zone: Vec<_> = in_zone.collect();
        if in_zone.len() < LEAST_READ_FOR {
            return StoreReader::Each;
        }
        let usable = in_zone
            .into_iter()
            .filter(|(id, _)| **id == self.own || !is_left_out(id));
        let first = usable.min_by_key(|(id, seen)| {
            let (is_unseen, weakness, _, id) = seen.place(id);
            let is_leaving = self.is_leaving && *id == self.own;
            (
                is_leaving,
                is_unseen,
                weakness,
                rendezvous::score(zone_seed, id),
                id,
            )
        });
        match first {
            Some((id, seen)) if *id != self.own => {
                StoreReader::Other(id.clone(), seen.announcement.address)
            }
            // The entry itself is never left out.
            _ => StoreReader::This,
        }
    }

    fn addressed(
        &self,
        is_wanted: impl Fn(&InstanceId, &Seen) -> bool,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let wanted = self
            .instances
            .iter()
            .filter(|(id, seen)| is_wanted(id, seen));
        let addressed = wanted.map(|(id, seen)| (id.clone(), seen.announcement.address));
        addressed.collect()
    }
}

impl Seen {
    /// Place in the order of those that act for all.
    fn place<'a>(&self, id: &'a InstanceId) -> Place<'a> {
        let weakness = Reverse(self.announcement.millicores);
        // One that is not seen in the store yet comes after all that are.
        (self.since.is_none(), weakness, self.since, id)
    }

    fn is_passed_over(&self, now: Duration) -> bool {
        self.passed_over_until > now
    }

    const fn new(announcement: Announcement, since: Option<RowVersion>) -> Self {
        Self {
            announcement,
            since,
            silent_since: None,
            passed_over_until: Duration::ZERO,
        }
    }
}

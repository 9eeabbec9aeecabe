//! The backend servers as the platform lists them.
//!
//! A server that is leaving or gone takes nothing more at once. One that lapsed while the store was
//! away may only have been unable to say that it lives, so it is kept for a short grace after the
//! store's return.
//!
//! Others may write to the list. An entry that cannot be read names no server, also where a good
//! one stood under its id; the others hold. Where the platform tells servers' starts, an entry
//! without one is another writer's too.
//!
//! Operators may evacuate an availability zone: until it is taken back, none of its servers takes
//! anything. A server tells how long it stays cold; those of a zone that was just taken back are
//! taken for cold, as their entries tell it too late.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::cold_limits::ColdLimits;
use super::cold_times::ColdTimes;
use super::server_availability::ServerAvailability;
use super::server_limit::ServerLimit;
use super::zone_uses::{ZoneChange, ZoneState, ZoneUses};
use crate::id::{RowVersion, ServerId, ServerIncarnation, ServiceId, ZoneId};

/// How long a server that lapsed in an outage may take to come back.
/// Source: the platform writes entries again about 2 s after the store's return.
pub const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// This life of the server.
    pub incarnation: ServerIncarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// How long it stays cold, as it told; none if it did not say.
    pub cold_left: Option<Duration>,
}

/// What a change of the list means to its reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is new or is listed differently.
    Listed(ServerRecord),
    /// A server takes nothing more.
    Removed(ServerId),
    /// An entry that names no server to use.
    Unreadable(ServerId),
}

impl ServerChange {
    /// The server that it is about.
    #[must_use]
    pub const fn id(&self) -> &ServerId {
        match self {
            Self::Listed(record) => record.incarnation.id(),
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// The servers in use, and those that lapsed in an outage.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: BTreeMap<ServerId, ServerRecord>,
    lapsed: BTreeSet<ServerId>,
    /// Whether an entry without a start names no server to use.
    tells_starts: bool,
    returned_at: Option<Duration>,
    is_away: bool,
    zones: ZoneUses,
    cold: ColdTimes,
    /// Limits that servers have named, also of some that are not listed yet.
    limits: BTreeMap<ServerIncarnation, ServerLimit>,
    /// Whether a whole list was taken: what comes after it has just started.
    is_whole: bool,
}

impl ServerList {
    /// Takes what the operators say of zones; says which of them have changed.
    pub fn apply_zones(
        &mut self,
        changes: Vec<ZoneChange>,
        is_whole: bool,
        now: Duration,
    ) -> Vec<(ZoneId, ZoneState)> {
        self.zones.take(changes, is_whole, now)
    }

    /// Zones that are evacuated, each with the version of the operators' word.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&ZoneId, RowVersion)> {
        self.zones.evacuated()
    }

    /// Takes the limit that a server names, or its end; false if it is the same.
    pub fn set_limit(&mut self, server: &ServerIncarnation, limit: Option<ServerLimit>) -> bool {
        match limit {
            Some(limit) => self.limits.insert(server.clone(), limit) != Some(limit),
            None => self.limits.remove(server).is_some(),
        }
    }

    /// What may be sent to a life of a server now, where its service may have cold servers.
    #[must_use]
    pub fn availability(
        &self,
        life: &ServerIncarnation,
        cold: Option<ColdLimits>,
        now: Duration,
    ) -> ServerAvailability {
        let record = self.servers.get(life.id());
        let record =
            record.filter(|record| record.incarnation == *life && self.is_servers_own(record));
        record.map_or(ServerAvailability::Unlisted, |record| {
            self.availability_of(record, cold, now)
        })
    }

    /// The same of a record of this list.
    #[must_use]
    pub fn availability_of(
        &self,
        record: &ServerRecord,
        cold: Option<ColdLimits>,
        now: Duration,
    ) -> ServerAvailability {
        if self.zones.is_evacuated(&record.zone) {
            return ServerAvailability::Evacuated;
        }
        if record.is_leaving {
            return ServerAvailability::Leaving;
        }
        let limit = self
            .limits
            .get(&record.incarnation)
            .map(|limit| limit.per_s());
        let cold_until = cold.and_then(|terms| {
            let taken_back_at = self.zones.taken_back_at(&record.zone);
            let until = self
                .cold
                .until(record.incarnation.id(), terms, taken_back_at)?;
            (until > now).then_some((until, terms.max_per_s))
        });
        match (cold_until, limit) {
            // Of two bounds the tighter one holds, and that of cold servers is counted more strictly.
            (Some((until, max_per_s)), limit) => ServerAvailability::Cold {
                until,
                max_per_s: limit.map_or(max_per_s, |limit| limit.min(max_per_s)),
            },
            (None, Some(max_per_s)) => ServerAvailability::Limited { max_per_s },
            (None, None) => ServerAvailability::Free,
        }
    }

    /// Notes that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.is_away = true;
    }

    /// Notes that the store answers; the first answer after an outage starts the grace.
    pub const fn store_answered(&mut self, now: Duration) {
        if self.is_away {
            self.is_away = false;
            self.returned_at = Some(now);
        }
    }

    /// Takes one change; false if nothing in use changed.
    pub fn apply_change(&mut self, change: ServerChange, now: Duration) -> bool {
        let is_changed = self.apply(change, now);
        if is_changed {
            self.count_starts();
        }
        is_changed
    }

    fn apply(&mut self, change: ServerChange, now: Duration) -> bool {
        match change {
            ServerChange::Listed(record) => {
                let id = record.incarnation.id();
                self.lapsed.remove(id);
                self.note_cold(&record, now);
                if self.servers.get(id) == Some(&record) {
                    return false;
                }
                self.servers.insert(id.clone(), record);
                true
            }
            ServerChange::Removed(id) => self.lose(id, now),
            // The store has spoken: no outage explains such an entry.
            ServerChange::Unreadable(id) => {
                self.lapsed.remove(&id);
                self.forget(&id)
            }
        }
    }

    fn note_cold(&mut self, record: &ServerRecord, now: Duration) {
        let known = self.servers.get(record.incarnation.id());
        let is_new = known.is_none_or(|known| record.incarnation.replaces(&known.incarnation));
        let has_come = is_new && self.is_whole;
        self.cold
            .told(record.incarnation.id(), record.cold_left, has_come, now);
    }

    fn forget(&mut self, id: &ServerId) -> bool {
        self.cold.forget(id);
        self.limits.retain(|life, _| life.id() != id);
        self.servers.remove(id).is_some()
    }

    /// Takes the whole list: what is missing from it lapsed or is gone.
    pub fn replace_all(&mut self, entries: Vec<ServerChange>, now: Duration) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id().clone()).collect();
        let known: Vec<_> = self.servers.keys().cloned().collect();
        for entry in entries {
            self.apply(entry, now);
        }
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            self.apply(ServerChange::Removed(id), now);
        }
        self.is_whole = true;
        self.count_starts();
    }

    /// When what lapsed and has not come back is gone.
    #[must_use]
    pub fn expired_until(&self) -> Option<Duration> {
        let returned_at = self
            .returned_at
            .filter(|_| !self.lapsed.is_empty() && !self.is_away);
        returned_at.map(|returned_at| returned_at + EXPIRY_GRACE)
    }

    /// Drops what lapsed and has not come back in time; says which.
    pub fn drop_expired(&mut self, now: Duration) -> Vec<ServerId> {
        if self.expired_until().is_none_or(|until| until > now) {
            return Vec::new();
        }
        let due: Vec<_> = std::mem::take(&mut self.lapsed).into_iter().collect();
        for id in &due {
            self.forget(id);
        }
        self.count_starts();
        due
    }

    /// Servers of a service that do not leave, those of evacuated zones too.
    pub fn not_leaving<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a ServerRecord> {
        let of_service = self.all().filter(move |record| record.service == *service);
        of_service.filter(|record| !record.is_leaving)
    }

    /// Servers of a service that take requests, cold ones too.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a ServerRecord> {
        let staying = self.not_leaving(service);
        staying.filter(|record| !self.zones.is_evacuated(&record.zone))
    }

    /// Whether a life of a server takes requests, be it as a cold one.
    #[must_use]
    pub fn is_usable(&self, life: &ServerIncarnation) -> bool {
        self.availability(life, None, Duration::ZERO).is_usable()
    }

    /// Whether a life of a server is listed, be it as one that leaves.
    #[must_use]
    pub fn is_listed(&self, life: &ServerIncarnation) -> bool {
        self.availability(life, None, Duration::ZERO) != ServerAvailability::Unlisted
    }

    /// All servers that are known.
    pub fn all(&self) -> impl Iterator<Item = &ServerRecord> {
        let records = self.servers.values();
        records.filter(|record| self.is_servers_own(record))
    }

    /// Whether an entry is one that servers write.
    ///
    /// Guards against an entry by another writer that has all but the start: sent there, a request
    /// would wait for a server that is not. Most entries are servers' own, so most of them say
    /// whether the platform tells starts at all.
    fn is_servers_own(&self, record: &ServerRecord) -> bool {
        !self.tells_starts || record.incarnation.started().is_some()
    }

    fn count_starts(&mut self) {
        let records = self.servers.values();
        let with_start = records.filter(|record| record.incarnation.started().is_some());
        self.tells_starts = with_start.count() * 2 > self.servers.len();
    }

    fn lose(&mut self, id: ServerId, now: Duration) -> bool {
        // Guards against an outage of the store that empties the list: every server would look
        // gone though it serves. Once the grace is over, missing is gone.
        let in_grace = self
            .returned_at
            .is_some_and(|returned_at| now.saturating_sub(returned_at) < EXPIRY_GRACE);
        if self.is_away || in_grace {
            if self.servers.contains_key(&id) {
                self.lapsed.insert(id);
            }
            return false;
        }
        self.lapsed.remove(&id);
        self.forget(&id)
    }
}

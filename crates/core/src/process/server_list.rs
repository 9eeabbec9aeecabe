//! The backend servers as listed by the platform.
//!
//! A server that is leaving or gone gets no more requests at once. A server whose listing expired
//! during an outage of the store may only have been unable to renew it, so it is retained for a
//! short grace period after the store's return.
//!
//! Other programs may write to the list. An unreadable record removes the server of that id, even
//! if its earlier record was readable; other records are unaffected. Where the platform lists start
//! times, a record without one was also written by another program.
//!
//! Operators may evacuate an availability zone: until it is taken back, its servers get no
//! requests. They may drain a single server in the same way, by its id. A server that states in an answer to this entry that it leaves gets none either,
//! whatever its record says, as the record may be older than the answer.
//!
//! A server reports how long it stays cold; servers of a zone that was just taken back
//! are assumed to be cold, as their records report it too late.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::cold_limits::ColdLimits;
use super::cold_times::ColdTimes;
use super::server_availability::ServerAvailability;
use super::server_drain::{DrainChange, ServerDrain};
use super::server_drains::ServerDrains;
use super::server_limit::ServerLimit;
use super::server_notices::ServerNotices;
use super::zone_states::{ZoneChange, ZoneState, ZoneStates};
use crate::id::{RowVersion, ServerId, ServerIncarnation, ServiceId, SoftwareVersion, ZoneId};

/// Grace period in which a server whose listing expired during an outage may be listed again.
/// Source: the platform writes records again about 2 s after the store's return.
pub const EXPIRY_GRACE: Duration = Duration::from_secs(2);
/// Time for which removed servers are remembered: longer than a copy of the store is old.
const GONE_LIFETIME: Duration = Duration::from_mins(1);

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it processes at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// How long it stays cold by its own report; none if it does not report it.
    pub cold_left: Option<Duration>,
    /// Version of its software, if it states one.
    pub software_version: Option<SoftwareVersion>,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is new or its record has changed.
    Listed(ServerRecord),
    /// A server is removed.
    Removed(ServerId),
    /// A record that cannot be read.
    Unreadable(ServerId),
}

impl ServerChange {
    /// Id of the server.
    #[must_use]
    pub const fn id(&self) -> &ServerId {
        match self {
            Self::Listed(record) => record.incarnation.id(),
            Self::Removed(id) | Self::Unreadable(id) => id,
        }
    }
}

/// The listed servers, and those whose listing expired during an outage.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: BTreeMap<ServerId, ServerRecord>,
    expired: BTreeSet<ServerId>,
    /// Whether records without a start time are ignored, as servers' records have one.
    reports_start_times: bool,
    store_returned_at: Option<Duration>,
    is_store_unreachable: bool,
    zones: ZoneStates,
    drains: ServerDrains,
    cold: ColdTimes,
    /// Limits that servers have reported, including servers that are not listed yet or any more.
    limits: BTreeMap<ServerIncarnation, ServerLimit>,
    notices: ServerNotices,
    /// Incarnations whose entries were removed, and when.
    gone: BTreeMap<ServerIncarnation, Duration>,
    /// Whether a complete list was received: servers that appear later have just started.
    is_complete: bool,
}

impl ServerList {
    /// Applies the operators' changes of zones; returns the zones whose state changed.
    pub fn apply_zones(
        &mut self,
        changes: Vec<ZoneChange>,
        is_complete: bool,
        now: Duration,
    ) -> Vec<(ZoneId, ZoneState)> {
        self.zones.apply(changes, is_complete, now)
    }

    /// Evacuated zones, each with the version of the operators' row.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = (&ZoneId, RowVersion)> {
        self.zones.evacuated()
    }

    /// Applies the operators' changes of drains; returns the servers whose drain began or ended.
    pub fn apply_drains(
        &mut self,
        changes: Vec<DrainChange>,
        is_complete: bool,
    ) -> Vec<(ServerId, Option<ServerDrain>)> {
        self.drains.apply(changes, is_complete)
    }

    /// The drain of a server, if operators drain it.
    #[must_use]
    pub fn drain(&self, server: &ServerId) -> Option<&ServerDrain> {
        self.drains.get(server)
    }

    /// All drains, also of servers that are not listed.
    pub fn drains(&self) -> impl Iterator<Item = (&ServerId, &ServerDrain)> {
        self.drains.all()
    }

    /// The record of the server with an id, if it is listed.
    #[must_use]
    pub fn record(&self, server: &ServerId) -> Option<&ServerRecord> {
        let record = self.servers.get(server);
        record.filter(|record| self.is_written_by_server(record))
    }

    /// Whether the list is complete and the store answers.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.is_complete && !self.is_store_unreachable
    }

    /// Sets or removes the limit that a server reports; returns whether it changed.
    pub fn set_limit(&mut self, server: &ServerIncarnation, limit: Option<ServerLimit>) -> bool {
        match limit {
            Some(limit) => self.limits.insert(server.clone(), limit) != Some(limit),
            None => self.limits.remove(server).is_some(),
        }
    }

    /// Records that a server has stated that it leaves; returns whether this is new.
    pub fn record_leaving(&mut self, server: &ServerIncarnation, now: Duration) -> bool {
        self.prune_notices(now);
        self.notices.record_leaving(server, now)
    }

    /// Records that a server wants no requests until a time; returns whether it is a later one.
    pub fn record_backoff(
        &mut self,
        server: &ServerIncarnation,
        until: Duration,
        now: Duration,
    ) -> bool {
        self.prune_notices(now);
        self.notices.record_backoff(server, until)
    }

    /// Whether a server has stated that it leaves.
    #[must_use]
    pub fn has_stated_leaving(&self, server: &ServerIncarnation) -> bool {
        self.notices.is_leaving(server)
    }

    /// Until when a server wants no requests; none if it takes them now.
    #[must_use]
    pub fn backoff_until(&self, server: &ServerIncarnation, now: Duration) -> Option<Duration> {
        self.notices.backoff_until(server, now)
    }

    fn prune_notices(&mut self, now: Duration) {
        let servers = &self.servers;
        let is_listed = |server: &ServerIncarnation| {
            let record = servers.get(server.id());
            record.is_some_and(|record| record.incarnation == *server)
        };
        self.notices.prune(is_listed, now);
    }

    /// Availability of an incarnation of a server, with the limits for cold servers of its service.
    #[must_use]
    pub fn availability(
        &self,
        incarnation: &ServerIncarnation,
        cold: Option<ColdLimits>,
        now: Duration,
    ) -> ServerAvailability {
        let record = self.servers.get(incarnation.id());
        let record = record.filter(|record| {
            record.incarnation == *incarnation && self.is_written_by_server(record)
        });
        record.map_or(ServerAvailability::Unlisted, |record| {
            self.availability_of(record, cold, now)
        })
    }

    /// Availability of a record of this list.
    #[must_use]
    pub fn availability_of(
        &self,
        record: &ServerRecord,
        cold: Option<ColdLimits>,
        now: Duration,
    ) -> ServerAvailability {
        // A drained server is treated like one of an evacuated zone.
        if self.zones.is_evacuated(&record.zone) || self.drains.contains(record.incarnation.id()) {
            return ServerAvailability::Evacuated;
        }
        if record.is_leaving || self.notices.is_leaving(&record.incarnation) {
            return ServerAvailability::Leaving;
        }
        if let Some(until) = self.notices.backoff_until(&record.incarnation, now) {
            return ServerAvailability::BackingOff { until };
        }
        let limit = self
            .limits
            .get(&record.incarnation)
            .map(|limit| limit.per_s());
        let cold_until = cold.and_then(|limits| {
            let taken_back_at = self.zones.taken_back_at(&record.zone);
            let until = self
                .cold
                .until(record.incarnation.id(), limits, taken_back_at)?;
            (until > now).then_some((until, limits.max_per_s))
        });
        match (cold_until, limit) {
            // The tighter of two limits applies, and a cold server's limit is counted more
            // strictly.
            (Some((until, max_per_s)), limit) => ServerAvailability::Cold {
                until,
                max_per_s: limit.map_or(max_per_s, |limit| limit.min(max_per_s)),
            },
            (None, Some(max_per_s)) => ServerAvailability::Limited { max_per_s },
            (None, None) => ServerAvailability::Free,
        }
    }

    /// Records that the store does not respond.
    pub const fn store_lost(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store responds; the first response after an outage starts the grace period.
    pub const fn store_answered(&mut self, now: Duration) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.store_returned_at = Some(now);
        }
    }

    /// Applies one change; false if the servers in use have not changed.
    pub fn apply_change(&mut self, change: ServerChange, now: Duration) -> bool {
        let is_changed = self.apply(change, now);
        if is_changed {
            self.detect_start_times();
        }
        is_changed
    }

    fn apply(&mut self, change: ServerChange, now: Duration) -> bool {
        match change {
            ServerChange::Listed(record) => {
                let id = record.incarnation.id();
                self.expired.remove(id);
                self.gone.remove(&record.incarnation);
                self.record_cold(&record, now);
                if self.servers.get(id) == Some(&record) {
                    return false;
                }
                self.servers.insert(id.clone(), record);
                true
            }
            ServerChange::Removed(id) => self.remove_or_expire(id, now),
            // The record was read from the store, so no outage explains it.
            ServerChange::Unreadable(id) => {
                self.expired.remove(&id);
                self.remove(&id, now)
            }
        }
    }

    fn record_cold(&mut self, record: &ServerRecord, now: Duration) {
        let known = self.servers.get(record.incarnation.id());
        let is_new = known.is_none_or(|known| record.incarnation.replaces(&known.incarnation));
        let has_joined = is_new && self.is_complete;
        self.cold
            .record(record.incarnation.id(), record.cold_left, has_joined, now);
    }

    fn remove(&mut self, id: &ServerId, now: Duration) -> bool {
        self.cold.remove(id);
        let removed = self.servers.remove(id);
        if let Some(removed) = &removed {
            if removed.is_leaving {
                self.notices.record_leaving(&removed.incarnation, now);
            }
            self.notices.record_unlisted(&removed.incarnation, now);
            self.gone
                .retain(|_, removed_at| now.saturating_sub(*removed_at) < GONE_LIFETIME);
            self.gone.insert(removed.incarnation.clone(), now);
        }
        removed.is_some()
    }

    /// Applies the complete list of a store that was restored from a copy.
    ///
    /// It may list servers that were removed since the copy. They are left out until they are listed
    /// by a change, as a server that still runs writes its entry again.
    pub fn restore_all(&mut self, mut entries: Vec<ServerChange>, now: Duration) {
        entries.retain(|entry| match entry {
            ServerChange::Listed(record) => !self.is_gone(&record.incarnation, now),
            ServerChange::Removed(_) | ServerChange::Unreadable(_) => true,
        });
        self.replace_all(entries, now);
    }

    fn is_gone(&self, server: &ServerIncarnation, now: Duration) -> bool {
        let removed_at = self.gone.get(server);
        removed_at.is_some_and(|removed_at| now.saturating_sub(*removed_at) < GONE_LIFETIME)
    }

    /// Applies a complete list: servers that are missing from it have expired or are gone.
    pub fn replace_all(&mut self, entries: Vec<ServerChange>, now: Duration) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id().clone()).collect();
        let known: Vec<_> = self.servers.keys().cloned().collect();
        // The list may be a copy of before a server said that it leaves.
        let replaced = listed.iter().filter_map(|id| self.servers.get(id));
        for record in replaced.filter(|record| record.is_leaving) {
            self.notices.record_leaving(&record.incarnation, now);
        }
        for entry in entries {
            self.apply(entry, now);
        }
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            self.apply(ServerChange::Removed(id), now);
        }
        self.is_complete = true;
        self.detect_start_times();
    }

    /// End of the grace period of expired listings.
    #[must_use]
    pub fn expired_until(&self) -> Option<Duration> {
        let store_returned_at = self
            .store_returned_at
            .filter(|_| !self.expired.is_empty() && !self.is_store_unreachable);
        store_returned_at.map(|store_returned_at| store_returned_at + EXPIRY_GRACE)
    }

    /// Drops the servers whose grace period has ended; returns their ids.
    pub fn drop_expired(&mut self, now: Duration) -> Vec<ServerId> {
        if self.expired_until().is_none_or(|until| until > now) {
            return Vec::new();
        }
        let dropped: Vec<_> = std::mem::take(&mut self.expired).into_iter().collect();
        for id in &dropped {
            self.remove(id, now);
        }
        self.detect_start_times();
        dropped
    }

    /// Servers of a service that are not about to leave by their records, including those of
    /// evacuated zones: the same for all entries that have read the same records.
    pub fn not_leaving<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a ServerRecord> {
        let of_service = self.all().filter(move |record| record.service == *service);
        of_service.filter(|record| !record.is_leaving)
    }

    /// Servers of a service that may be used, including cold ones and those that back off now.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a ServerRecord> {
        let not_leaving = self.not_leaving(service);
        not_leaving.filter(|record| {
            !self.zones.is_evacuated(&record.zone)
                && !self.drains.contains(record.incarnation.id())
                && !self.notices.is_leaving(&record.incarnation)
        })
    }

    /// Whether an incarnation of a server may be used, even if it is cold or backs off now.
    #[must_use]
    pub fn is_usable(&self, incarnation: &ServerIncarnation) -> bool {
        self.availability(incarnation, None, Duration::ZERO)
            .is_usable_in_time()
    }

    /// Whether an incarnation of a server is listed, even if it is about to leave.
    #[must_use]
    pub fn is_listed(&self, incarnation: &ServerIncarnation) -> bool {
        self.availability(incarnation, None, Duration::ZERO) != ServerAvailability::Unlisted
    }

    /// All known servers.
    pub fn all(&self) -> impl Iterator<Item = &ServerRecord> {
        let records = self.servers.values();
        records.filter(|record| self.is_written_by_server(record))
    }

    /// Whether a record was written by a server.
    ///
    /// Guards against a record by another program that has everything but a start time: a request
    /// sent there would wait for a server that does not exist. Most records are written by servers,
    /// so the majority shows whether the platform lists start times.
    fn is_written_by_server(&self, record: &ServerRecord) -> bool {
        !self.reports_start_times || record.incarnation.started().is_some()
    }

    fn detect_start_times(&mut self) {
        let records = self.servers.values();
        let with_start = records.filter(|record| record.incarnation.started().is_some());
        self.reports_start_times = with_start.count() * 2 > self.servers.len();
    }

    fn remove_or_expire(&mut self, id: ServerId, now: Duration) -> bool {
        // Guards against an outage of the store that empties the list: every server would seem to
        // be gone although it runs. After the grace period, a missing server is gone.
        let in_grace = self
            .store_returned_at
            .is_some_and(|store_returned_at| now.saturating_sub(store_returned_at) < EXPIRY_GRACE);
        if self.is_store_unreachable || in_grace {
            if self.servers.contains_key(&id) {
                self.expired.insert(id);
            }
            return false;
        }
        self.expired.remove(&id);
        self.remove(&id, now)
    }
}

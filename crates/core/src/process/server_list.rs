//! The backend servers as the platform lists them.
//!
//! A server that is leaving or gone takes nothing more at once. One that lapsed while the store was
//! away may only have been unable to say that it lives, so it is kept for a short grace after the
//! store's return.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{ServerId, ServiceId, ZoneId};

/// How long a server that lapsed in an outage may take to come back.
/// Source: the platform writes entries again about 2 s after the store's return.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// This life of the server.
    pub id: ServerId,
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
}

/// What a change of the list means to its reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is new or is listed differently.
    Listed(ServerRecord),
    /// A server takes nothing more.
    Gone(ServerId),
}

/// The servers in use, and those that lapsed in an outage.
#[derive(Debug, Clone, Default)]
pub struct ServerList {
    servers: BTreeMap<ServerId, ServerRecord>,
    lapsed: BTreeSet<ServerId>,
    returned_at: Option<Duration>,
    is_away: bool,
}

impl ServerList {
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
    pub fn take(&mut self, change: ServerChange, now: Duration) -> bool {
        match change {
            ServerChange::Listed(record) => {
                self.lapsed.remove(&record.id);
                if self.servers.get(&record.id) == Some(&record) {
                    return false;
                }
                self.servers.insert(record.id.clone(), record);
                true
            }
            ServerChange::Gone(id) => self.lose(id, now),
        }
    }

    /// Takes the whole list: what is missing from it lapsed or is gone.
    pub fn take_all(&mut self, records: Vec<ServerRecord>, now: Duration) {
        let listed: Vec<_> = records.iter().map(|record| record.id.clone()).collect();
        let known: Vec<_> = self.servers.keys().cloned().collect();
        for record in records {
            self.take(ServerChange::Listed(record), now);
        }
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            self.lose(id, now);
        }
    }

    /// When what lapsed and has not come back is gone.
    #[must_use]
    pub fn lapsed_until(&self) -> Option<Duration> {
        let returned_at = self
            .returned_at
            .filter(|_| !self.lapsed.is_empty() && !self.is_away);
        returned_at.map(|returned_at| returned_at + LAPSE_GRACE)
    }

    /// Drops what lapsed and has not come back in time; says which.
    pub fn drop_lapsed(&mut self, now: Duration) -> Vec<ServerId> {
        if self.lapsed_until().is_none_or(|until| until > now) {
            return Vec::new();
        }
        let due: Vec<_> = std::mem::take(&mut self.lapsed).into_iter().collect();
        for id in &due {
            self.servers.remove(id);
        }
        due
    }

    /// Servers of a service that take requests.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a ServerRecord> {
        let of_service = self
            .servers
            .values()
            .filter(move |record| record.service == *service);
        of_service.filter(|record| !record.is_leaving)
    }

    /// A server that takes requests.
    #[must_use]
    pub fn usable_server(&self, id: &ServerId) -> Option<&ServerRecord> {
        self.servers.get(id).filter(|record| !record.is_leaving)
    }

    /// All servers that are known.
    pub fn all(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    fn lose(&mut self, id: ServerId, now: Duration) -> bool {
        // Guards against an outage of the store that empties the list: every server would look
        // gone though it serves. Once the grace is over, missing is gone.
        let in_grace = self
            .returned_at
            .is_some_and(|returned_at| now.saturating_sub(returned_at) < LAPSE_GRACE);
        if self.is_away || in_grace {
            if self.servers.contains_key(&id) {
                self.lapsed.insert(id);
            }
            return false;
        }
        self.lapsed.remove(&id);
        self.servers.remove(&id).is_some()
    }
}

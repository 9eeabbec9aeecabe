//! At which software version streams began.
//!
//! A caller that lost a stream takes it up at any gateway, so what a gateway knows of its streams is
//! also recorded at others. An entry never changes: it is recorded once the first event is forwarded.
//! Two entries that contradict each other, as after a call id was used twice, yield nothing.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rendezvous;
use crate::id::{CallId, OrganisationId, ServiceId, SoftwareVersion};

/// The call that brought a stream's first event, as its organisation named it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey {
    /// Organisation of the caller, if its key names one.
    pub organisation: Option<OrganisationId>,
    /// The call.
    pub call: CallId,
}

impl StreamKey {
    /// Orders gateways by address: the first ones keep the stream's origin.
    #[must_use]
    pub fn rank<T>(&self, mut gateways: Vec<(T, SocketAddr)>) -> Vec<(T, SocketAddr)> {
        let seed = rendezvous::score(0, &self.call);
        gateways.sort_by_cached_key(|(_, address)| {
            std::cmp::Reverse(rendezvous::score(seed, address.to_string()))
        });
        gateways
    }
}

/// Number of gateways for which one of them saves origins in the store.
const GATEWAYS_PER_WRITER: usize = 50;

/// The gateway that saves a gateway's origins in the store: one of a few, the same ones for all, so
/// that calls to the store do not rise with the number of gateways.
#[must_use]
pub fn origin_writer<T>(
    own: SocketAddr,
    gateways: Vec<(T, SocketAddr)>,
) -> Option<(T, SocketAddr)> {
    let writers = 1 + gateways.len() / GATEWAYS_PER_WRITER;
    let rank = |seed: u64, address: &SocketAddr| {
        std::cmp::Reverse(rendezvous::score(seed, address.to_string()))
    };
    let mut ranked = gateways;
    ranked.sort_by_cached_key(|(_, address)| rank(0, address));
    ranked.truncate(writers);
    let own_seed = rendezvous::score(0, own.to_string());
    ranked.sort_by_cached_key(|(_, address)| rank(own_seed, address));
    ranked.into_iter().next()
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the engine.
    pub service: ServiceId,
    /// Version of the engine's software, if it states one.
    pub version: Option<SoftwareVersion>,
}

#[derive(Debug)]
struct Entry {
    /// `None` after contradicting records.
    origin: Option<StreamOrigin>,
    expires_at: Duration,
}

/// Origins of recent streams, bounded in number; the oldest are dropped first.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::{StreamKey, StreamOrigin, StreamOrigins};
///
/// let key = StreamKey { organisation: None, call: "c1".parse().unwrap() };
/// let origin = StreamOrigin { service: "pool".parse().unwrap(), version: None };
/// let mut origins = StreamOrigins::new(100);
/// origins.record(key.clone(), origin.clone(), Duration::from_secs(30), Duration::ZERO);
/// assert_eq!(origins.find(&key, Duration::from_secs(1)), Some(&origin));
/// ```
#[derive(Debug)]
pub struct StreamOrigins {
    max_entries: usize,
    entries: BTreeMap<StreamKey, Entry>,
    /// Keys in the order of their last record; one of a key that was recorded again is skipped.
    order: VecDeque<(Duration, StreamKey)>,
}

impl StreamOrigins {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            entries: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records the origin of a stream for a time from now on.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        retention: Duration,
        now: Duration,
    ) {
        self.drop_expired(now);
        let expires_at = now + retention;
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.origin.as_ref() != Some(&origin) {
                entry.origin = None;
            }
            entry.expires_at = expires_at;
        } else {
            let origin = Some(origin);
            self.entries
                .insert(key.clone(), Entry { origin, expires_at });
        }
        self.order.push_back((expires_at, key));
        while self.entries.len() > self.max_entries {
            let Some((_, oldest)) = self.order.pop_front() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }

    /// The origin of a stream, if it is known.
    #[must_use]
    pub fn find(&self, key: &StreamKey, now: Duration) -> Option<&StreamOrigin> {
        let entry = self.entries.get(key)?;
        entry.origin.as_ref().filter(|_| now < entry.expires_at)
    }

    /// Number of entries that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_expired(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.order.front() {
            if *expires_at > now {
                return;
            }
            if self
                .entries
                .get(key)
                .is_some_and(|entry| entry.expires_at <= now)
            {
                self.entries.remove(key);
            }
            self.order.pop_front();
        }
    }
}

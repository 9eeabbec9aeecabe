//! The current host list, and the delayed one that readers see.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::HostId;
use amaranthscale_core::wire::{HostList, HostRecord, HostState};
use tokio::time::Instant;

use crate::LaggingValue;

/// Hosts by name.
#[derive(Debug)]
pub(crate) struct HostDirectory {
    version: u64,
    hosts: BTreeMap<HostId, HostRecord>,
    published: LaggingValue<HostList>,
}

impl HostDirectory {
    /// An empty list.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            version: 0,
            hosts: BTreeMap::new(),
            published: LaggingValue::new(now, HostList::default()),
        }
    }

    /// The list as readers see it.
    pub(crate) fn list(&mut self, now: Instant, lag: Duration) -> HostList {
        let seen = self.published.get(now, lag);
        seen.map(|(list, _)| list).unwrap_or_default()
    }

    /// Replaces the whole list.
    pub(crate) fn replace(&mut self, now: Instant, lag: Duration, hosts: Vec<HostRecord>) {
        let by_name = hosts.into_iter().map(|host| (host.host.clone(), host));
        self.hosts = by_name.collect();
        self.publish(now, lag);
    }

    /// Adds a host, or replaces the one of the same name.
    pub(crate) fn put(&mut self, now: Instant, lag: Duration, host: HostRecord) {
        self.hosts.insert(host.host.clone(), host);
        self.publish(now, lag);
    }

    /// Changes a host's state; false if there is no such host.
    pub(crate) fn set_state(
        &mut self,
        now: Instant,
        lag: Duration,
        host: &HostId,
        state: HostState,
    ) -> bool {
        let Some(record) = self.hosts.get_mut(host) else {
            return false;
        };
        record.state = state;
        self.publish(now, lag);
        true
    }

    /// Removes a host; false if there is no such host.
    pub(crate) fn remove(&mut self, now: Instant, lag: Duration, host: &HostId) -> bool {
        let existed = self.hosts.remove(host).is_some();
        if existed {
            self.publish(now, lag);
        }
        existed
    }

    fn publish(&mut self, now: Instant, lag: Duration) {
        self.version += 1;
        let list = HostList {
            version: self.version,
            hosts: self.hosts.values().cloned().collect(),
        };
        self.published.set(now, lag, list);
    }
}

//! Finds the drains of servers that are gone.

use std::collections::BTreeMap;
use std::time::Duration;

use super::server_list::ServerList;
use crate::id::ServerId;

/// Time for which a server must not be listed until its drain is removed.
///
/// A server that restarts under the same id is not listed for some seconds and must come back
/// drained. The value is chosen to be longer than a restart; it was not measured.
pub const DRAIN_RETENTION: Duration = Duration::from_mins(1);

/// Since when drained servers have not been listed.
#[derive(Debug, Default)]
pub struct StaleDrains {
    unlisted_since: BTreeMap<ServerId, Duration>,
}

impl StaleDrains {
    /// Drained servers that have not been listed for the retention time.
    ///
    /// Without a complete and current list every server would seem to be gone, so the times begin
    /// anew.
    pub fn update(&mut self, servers: &ServerList, now: Duration) -> Vec<ServerId> {
        if !servers.is_current() {
            self.unlisted_since.clear();
            return Vec::new();
        }
        let unlisted = servers
            .drains()
            .filter(|(id, _)| servers.record(id).is_none());
        let unlisted = unlisted.map(|(id, _)| {
            let since = self.unlisted_since.get(id).copied().unwrap_or(now);
            (id.clone(), since)
        });
        self.unlisted_since = unlisted.collect();
        let stale = self
            .unlisted_since
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) >= DRAIN_RETENTION);
        stale.map(|(id, _)| id.clone()).collect()
    }
}

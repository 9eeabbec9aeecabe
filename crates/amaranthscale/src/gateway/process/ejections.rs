//! Servers that this gateway has ejected, for operators.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::HealthChange;

/// Ejected servers that have not answered since.
#[derive(Debug, Default)]
pub struct Ejections {
    since: Mutex<BTreeMap<ServerIncarnation, Duration>>,
}

impl Ejections {
    /// Records a change of a server's health.
    pub fn record(&self, server: &ServerIncarnation, change: HealthChange, now: Duration) {
        let mut since = self.since();
        match change {
            HealthChange::Ejected => {
                since.insert(server.clone(), now);
            }
            HealthChange::Readmitted => {
                since.remove(server);
            }
        }
    }

    /// Time since a server's ejection, if it is ejected.
    #[must_use]
    pub fn ejected_for(&self, server: &ServerIncarnation, now: Duration) -> Option<Duration> {
        let since = self.since().get(server).copied();
        since.map(|since| now.saturating_sub(since))
    }

    /// Drops servers that are no longer known.
    pub fn retain(&self, is_known: impl Fn(&ServerIncarnation) -> bool) {
        self.since().retain(|server, _| is_known(server));
    }

    fn since(&self) -> MutexGuard<'_, BTreeMap<ServerIncarnation, Duration>> {
        self.since.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

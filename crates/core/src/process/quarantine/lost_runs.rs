//! Lost runs by server, until it is known whether the server crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Suspect;
use crate::id::ServerIncarnation;

/// How long a lost run is retained: a crashed server leaves the server list within some heartbeats.
const RETENTION: Duration = Duration::from_secs(12);
/// Largest number of suspects per server.
const MAX_SUSPECTS_PER_SERVER: usize = 1_000;

/// What to do about a lost run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossAction {
    /// Probe whether the server still listens.
    Probe,
    /// Wait for a probe that is already running.
    Wait,
    /// Report the run as lost in the server's crash.
    Report,
}

#[derive(Debug, Clone, Default)]
struct ServerLosses {
    /// Lost since the server was last found listening.
    suspects: BTreeSet<Suspect>,
    /// Lost before that; a new incarnation may have been listening by then.
    earlier: BTreeSet<Suspect>,
    last_lost_at: Duration,
    is_probed: bool,
    has_crashed: bool,
}

/// Lost runs by server.
#[derive(Debug, Clone, Default)]
pub struct LostRuns {
    by_server: BTreeMap<ServerIncarnation, ServerLosses>,
}

impl LostRuns {
    /// Records a run that ended without a complete answer because the connection ended.
    pub fn record_loss(
        &mut self,
        server: &ServerIncarnation,
        suspects: impl IntoIterator<Item = Suspect>,
        now: Duration,
    ) -> LossAction {
        self.by_server
            .retain(|_, losses| now.saturating_sub(losses.last_lost_at) < RETENTION);
        let losses = self.by_server.entry(server.clone()).or_default();
        losses.last_lost_at = now;
        if losses.has_crashed {
            return LossAction::Report;
        }
        if losses.suspects.len() < MAX_SUSPECTS_PER_SERVER {
            losses.suspects.extend(suspects);
        }
        if std::mem::replace(&mut losses.is_probed, true) {
            LossAction::Wait
        } else {
            LossAction::Probe
        }
    }

    /// Records that no crash of a server was found: its next lost run causes another probe.
    ///
    /// Guards against an undetected crash of a server that had lost another run before and
    /// survived.
    pub fn mark_not_crashed(&mut self, server: &ServerIncarnation) {
        if let Some(losses) = self.by_server.get_mut(server) {
            losses.is_probed = false;
            if losses.earlier.len() < MAX_SUSPECTS_PER_SERVER {
                losses.earlier.append(&mut losses.suspects);
            }
        }
    }

    /// Records a server's crash; returns what was lost in it.
    pub fn mark_crashed(&mut self, server: &ServerIncarnation) -> BTreeSet<Suspect> {
        let Some(losses) = self.by_server.get_mut(server) else {
            return BTreeSet::new();
        };
        losses.has_crashed = true;
        losses.earlier.clear();
        std::mem::take(&mut losses.suspects)
    }

    /// Treats a server that is not listed any more as crashed; returns all that it lost
    /// recently.
    pub fn mark_gone(&mut self, server: &ServerIncarnation) -> BTreeSet<Suspect> {
        let losses = self.by_server.get_mut(server);
        let mut suspects =
            losses.map_or_else(BTreeSet::new, |losses| std::mem::take(&mut losses.earlier));
        suspects.append(&mut self.mark_crashed(server));
        suspects
    }

    /// Servers with lost runs that are not listed any more.
    #[must_use]
    pub fn unlisted(
        &self,
        is_listed: impl Fn(&ServerIncarnation) -> bool,
    ) -> Vec<ServerIncarnation> {
        let not_crashed = self.by_server.iter();
        let not_crashed = not_crashed.filter(|(_, losses)| !losses.has_crashed);
        let unlisted = not_crashed.filter(|(server, _)| !is_listed(server));
        unlisted.map(|(server, _)| server.clone()).collect()
    }
}

//! Whether a run is copied to a second engine while it grows, and to which one.

use std::time::Duration;

use super::super::rendezvous;
use super::super::server_list::ServerRecord;
use super::super::server_selector::ServerSelector;
use crate::id::CallId;

/// Factor by which the expected saving has to exceed the transfer time: fetches and moves share the
/// links.
const MIN_GAIN: f64 = 10.0;
/// Part of the prefill time of a copy's tokens that it costs at its target: the copy evicts as many
/// cached tokens there, about half of which are used again.
const EVICTION_COST: f64 = 0.5;
/// Fraction of its slots up to which an engine is a target; engines keep copies only while they have
/// free capacity.
const MAX_TARGET_FULLNESS: f64 = 0.75;

/// A backup of a run that is considered.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::RunBackup;
///
/// let backup = RunBackup {
///     broken_share: 0.02,
///     lost_time: Duration::from_secs(3),
///     transfer_time: Duration::from_millis(2),
///     prefill_time: Duration::from_millis(20),
///     is_engine_failing: false,
/// };
/// assert!(backup.is_worthwhile());
/// assert!(!RunBackup { broken_share: 0.0, ..backup }.is_worthwhile());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunBackup {
    /// Share of the service's streams that broke recently.
    pub broken_share: f64,
    /// Engine time that is lost if the run breaks without a copy.
    pub lost_time: Duration,
    /// Time to transfer the run's KV cache.
    pub transfer_time: Duration,
    /// Time to prefill as many tokens as the copy occupies.
    pub prefill_time: Duration,
    /// Whether the engine's last send failed.
    pub is_engine_failing: bool,
}

impl RunBackup {
    /// Whether the backup is expected to save more than it costs.
    #[must_use]
    pub fn is_worthwhile(&self) -> bool {
        let saving_s = self.broken_share * self.lost_time.as_secs_f64();
        let cost_s = MIN_GAIN * self.transfer_time.as_secs_f64()
            + EVICTION_COST * self.prefill_time.as_secs_f64();
        self.is_engine_failing || saving_s > cost_s
    }

    /// The engine to which a run at `engine` is copied.
    ///
    /// It is one of the less loaded half of the candidates, in the engine's availability zone if it
    /// has any, as transfers between zones take twice as long. The hash of the call spreads the
    /// copies over them.
    #[must_use]
    pub fn target<'a>(
        candidates: impl IntoIterator<Item = &'a ServerRecord>,
        engine: &ServerRecord,
        call: &CallId,
        server_selector: &ServerSelector,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let fullness = |server: &ServerRecord| server_selector.engine_fullness(server, now);
        let mut targets: Vec<_> = candidates
            .into_iter()
            .filter(|server| {
                server.incarnation != engine.incarnation
                    && server.address != engine.address
                    && !server_selector.is_failing(&server.incarnation, now)
                    && fullness(server) < MAX_TARGET_FULLNESS
            })
            .collect();
        if targets.iter().any(|server| server.zone == engine.zone) {
            targets.retain(|server| server.zone == engine.zone);
        }
        targets.sort_by(|a, b| fullness(a).total_cmp(&fullness(b)));
        targets.truncate(targets.len().div_ceil(2));
        let seed = rendezvous::score(2, call);
        let score = |server: &&ServerRecord| rendezvous::score(seed, server.incarnation.id());
        targets.into_iter().max_by_key(score)
    }
}

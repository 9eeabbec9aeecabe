//! Whether a run is moved from an engine that leaves, and how many moves take place at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ServerIncarnation;
use crate::version::TransferSpec;

/// Factor by which the rest of a run has to exceed the time of its copy.
const MIN_GAIN: u32 = 5;
/// Moves at once from an engine and to an engine by this entry: they share the links of both.
const MAX_AT_ENGINE: usize = 2;

/// A move of a run that is considered.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::RunMove;
/// use amaranthscale_core::version::TransferSpec;
///
/// let transfer = TransferSpec {
///     bytes_per_token: 131_072,
///     bytes_per_s: 137_500_000_000,
///     can_back_up: false,
///     can_move: true,
///     copy_retention: Duration::from_secs(5),
/// };
/// let remaining_time = Duration::from_millis(500);
/// let run = RunMove { tokens: 5_000, remaining_time, is_other_zone: false };
/// assert!(run.is_worthwhile(&transfer));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunMove {
    /// Tokens of the run's KV cache.
    pub tokens: u64,
    /// Expected time until the run ends where it is.
    pub remaining_time: Duration,
    /// Whether the target is in another availability zone.
    pub is_other_zone: bool,
}

impl RunMove {
    /// Whether the rest of the run takes more than five times as long as its copy.
    #[must_use]
    pub fn is_worthwhile(&self, transfer: &TransferSpec) -> bool {
        let zone_factor = if self.is_other_zone { 2 } else { 1 };
        let transfer_time = transfer.transfer_time(self.tokens);
        let copy_time =
            TransferSpec::START_TIME.saturating_add(transfer_time.saturating_mul(zone_factor));
        self.remaining_time > copy_time.saturating_mul(MIN_GAIN)
    }
}

/// Moves that take place now, by engine.
#[derive(Debug, Clone, Default)]
pub struct ActiveMoves {
    by_source: BTreeMap<ServerIncarnation, usize>,
    by_target: BTreeMap<ServerIncarnation, usize>,
}

impl ActiveMoves {
    /// Whether another run may be moved away from an engine.
    #[must_use]
    pub fn may_leave(&self, source: &ServerIncarnation) -> bool {
        self.by_source
            .get(source)
            .is_none_or(|count| *count < MAX_AT_ENGINE)
    }

    /// Whether another run may be moved to an engine.
    #[must_use]
    pub fn may_enter(&self, target: &ServerIncarnation) -> bool {
        self.by_target
            .get(target)
            .is_none_or(|count| *count < MAX_AT_ENGINE)
    }

    /// Records the beginning of a move; false if one of the engines has too many.
    #[must_use]
    pub fn try_begin(&mut self, source: &ServerIncarnation, target: &ServerIncarnation) -> bool {
        if !self.may_leave(source) || !self.may_enter(target) {
            return false;
        }
        *self.by_source.entry(source.clone()).or_default() += 1;
        *self.by_target.entry(target.clone()).or_default() += 1;
        true
    }

    /// Records the end of a move.
    pub fn end(&mut self, source: &ServerIncarnation, target: &ServerIncarnation) {
        let ends = [(&mut self.by_source, source), (&mut self.by_target, target)];
        for (counts, engine) in ends {
            if let Some(count) = counts.get_mut(engine) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(engine);
                }
            }
        }
    }
}

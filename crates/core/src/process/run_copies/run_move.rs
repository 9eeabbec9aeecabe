//! Whether a run is moved to another engine.

use std::time::Duration;

use crate::version::TransferSpec;

/// Factor by which the rest of a run has to exceed the time of its copy.
const MIN_GAIN: u32 = 5;

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
        self.remaining_time > self.copy_time(transfer).saturating_mul(MIN_GAIN)
    }

    /// Whether the run ends earlier if it is moved to an engine that needs a time for its rest, and
    /// the move is worthwhile.
    #[must_use]
    pub fn ends_earlier(&self, transfer: &TransferSpec, time_at_target: Duration) -> bool {
        let moved = self.copy_time(transfer).saturating_add(time_at_target);
        self.remaining_time > moved && self.is_worthwhile(transfer)
    }

    /// Time to copy the run's KV cache; twice as long between availability zones.
    #[must_use]
    pub fn copy_time(&self, transfer: &TransferSpec) -> Duration {
        let zone_factor = if self.is_other_zone { 2 } else { 1 };
        let transfer_time = transfer.transfer_time(self.tokens);
        TransferSpec::START_TIME.saturating_add(transfer_time.saturating_mul(zone_factor))
    }
}

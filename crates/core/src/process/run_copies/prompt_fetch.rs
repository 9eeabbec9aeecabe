//! Whether an engine fetches the shared parts of a prompt instead of prefilling them.

use std::time::Duration;

use crate::version::TransferSpec;

/// Factor by which a fetch has to be faster than prefilling: transfers share the link, so that a
/// fetch may have to wait for others.
const MIN_GAIN: u32 = 2;

/// A fetch of shared prompt parts that is considered.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::PromptFetch;
/// use amaranthscale_core::version::TransferSpec;
///
/// let transfer = TransferSpec {
///     bytes_per_token: 18_432,
///     bytes_per_s: 92_500_000_000,
///     can_back_up: false,
///     can_move: false,
///     copy_retention: Duration::from_secs(5),
/// };
/// let fetch = PromptFetch { tokens: 5_000, prefill_time: Duration::from_millis(105) };
/// assert!(fetch.is_worthwhile(&transfer));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptFetch {
    /// Tokens of the shared parts.
    pub tokens: u64,
    /// Time to prefill them.
    pub prefill_time: Duration,
}

impl PromptFetch {
    /// Whether the fetch is at least twice as fast as prefilling.
    #[must_use]
    pub fn is_worthwhile(&self, transfer: &TransferSpec) -> bool {
        let fetch_time = transfer.fetch_time(self.tokens);
        self.prefill_time >= fetch_time.saturating_mul(MIN_GAIN)
    }
}

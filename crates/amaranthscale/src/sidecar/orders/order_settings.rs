//! How a sidecar orders its engine.

use std::time::Duration;

/// Time between two looks at the placement. A fleet of 660 sidecars then reads it at most 176
/// times a second, of the two thousand that the table gives.
const POLL: Duration = Duration::from_secs(5);
/// Silence after which an order is given up. Its connection is closed then, and an engine may
/// abandon the load, so this must exceed the longest load.
const RETRY_AFTER: Duration = Duration::from_mins(10);
/// Time after which a refused order is tried again; a failed load costs the weight store.
const REFUSAL_PAUSE: Duration = Duration::from_secs(30);

/// How a sidecar orders its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine refuses orders with an old fencing number; shown to operators.
    pub honours_fence: bool,
    /// Time between two looks at the placement.
    pub poll_interval: Duration,
    /// Silence after which an order is given up.
    pub order_timeout: Duration,
    /// Time after which a refused order is tried again.
    pub refusal_retry_delay: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            honours_fence: false,
            poll_interval: POLL,
            order_timeout: RETRY_AFTER,
            refusal_retry_delay: REFUSAL_PAUSE,
        }
    }
}

//! Settings of the orders to an engine.

use std::time::Duration;

/// Time between two reads of the placement. 660 sidecars then read it at most 176 times a second,
/// of the two thousand reads a second that the table serves.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Time without an answer after which an order is abandoned. Its connection is then closed, which
/// may make the engine abort a load, so this must exceed the longest load.
const ORDER_TIMEOUT: Duration = Duration::from_mins(10);
/// Delay before a refused order is retried; each failed load puts load on the weight store.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Settings of the orders to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine refuses orders with an old fencing number; shown to operators.
    pub honours_fence: bool,
    /// Time between two reads of the placement.
    pub poll_interval: Duration,
    /// Time without an answer after which an order is abandoned.
    pub order_timeout: Duration,
    /// Delay before a refused order is retried.
    pub refusal_retry_delay: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            honours_fence: false,
            poll_interval: POLL_INTERVAL,
            order_timeout: ORDER_TIMEOUT,
            refusal_retry_delay: REFUSAL_RETRY_DELAY,
        }
    }
}

//! Durations in log lines and messages.

use std::time::Duration;

/// A duration in whole milliseconds.
pub(crate) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

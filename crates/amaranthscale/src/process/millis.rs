//! Times as they stand in lines and messages.

use std::time::Duration;

/// Milliseconds of a time.
pub(crate) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

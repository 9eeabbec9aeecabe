//! Timing of polls of the store, computed from the bounds that a deployment sets.
//!
//! Every call to the store costs money, so each poll waits as long as its bound allows.

use std::time::Duration;

use super::store_call::CALL_TIMEOUT;

/// Percentage of the bound on revoked keys for which keys are accepted without an answer of the
/// store; the rest allows for network time and late timers.
pub const KEY_AGE_PERCENT: u32 = 90;
/// Percentage of the bound on revoked keys for which a gateway is ready without an answer of the
/// store. Soon after that it refuses requests with keys, so callers should use other gateways.
pub const READY_AGE_PERCENT: u32 = 56;
/// Percentage of a bound for which a poll waits if its answers are relayed. With the interval
/// between two polls, a third of the bound remains for a gateway that receives nothing to read the
/// store itself.
const RELAY_WAIT_PERCENT: u32 = 40;
/// Percentage of a bound after which another gateway is asked for rows that have begun to arrive at
/// the zone reader. Two more readers can be asked one after the other within half of the bound, and
/// the rest of it is for reading the store.
const ARRIVAL_WAIT_PERCENT: u32 = 25;
/// Percentage of a bound that is left for a new connection and its first answer.
const RECONNECTION_PERCENT: u32 = 10;
/// Maximum time from a call that fails to the next one.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(350);
/// Minimum time between two polls of the gateways' table just after a start. Other gateways may
/// start at the same time, as after a power failure, and until they know of each other several make
/// batches for the same servers.
const STARTUP_INSTANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a start within which all gateways that lost power together are back.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// Timing of the polls of one table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollTiming {
    /// Maximum wait of one poll for changes.
    pub wait: Duration,
    /// Minimum time between two polls, so that frequent changes are read together.
    pub interval: Duration,
    /// Minimum time between two polls just after a start.
    pub startup_interval: Duration,
    /// Time from a call that fails to the next one.
    pub failure_pause: Duration,
    /// Maximum wait of one poll whose answers are relayed.
    pub relay_wait: Duration,
    /// Time from when rows have begun to arrive at a reader until another gateway is asked too.
    pub arrival_wait: Duration,
}

impl PollTiming {
    /// Timing for the routing: a poll waits half of the age up to which keys are accepted.
    ///
    /// If a connection hangs, the poll on the next one is answered before the keys are too old.
    /// With a longer wait, all requests with keys would be refused for a moment.
    #[must_use]
    pub fn routing(revoke_bound: Duration) -> Self {
        let max_key_age = revoke_bound * KEY_AGE_PERCENT / 100;
        Self {
            wait: max_key_age / 2,
            interval: Duration::ZERO,
            startup_interval: Duration::ZERO,
            failure_pause: MAX_FAILURE_PAUSE.min(max_key_age / 10),
            relay_wait: max_key_age / 2,
            arrival_wait: revoke_bound * ARRIVAL_WAIT_PERCENT / 100,
        }
    }

    /// Maximum time between two answers of a gateway that relays, without network time.
    #[must_use]
    pub fn max_relay_silence(&self) -> Duration {
        self.interval + self.relay_wait
    }

    /// Limits the wait of relayed polls, so that the gateways that read from this one learn of
    /// every change within a bound.
    ///
    /// If this gateway is cut off from the store and has not detected it yet, they stop relying on
    /// it early enough to read the store themselves within the bound.
    #[must_use]
    pub fn with_relay_bound(mut self, bound: Duration) -> Self {
        self.relay_wait = self.wait.min(bound * RELAY_WAIT_PERCENT / 100);
        self.arrival_wait = bound * ARRIVAL_WAIT_PERCENT / 100;
        self
    }

    /// Limits the wait of polls, so that a connection that has gone silent is replaced, and the next
    /// one answered, within a bound.
    #[must_use]
    pub fn with_silence_bound(mut self, bound: Duration) -> Self {
        let answer_time = CALL_TIMEOUT + bound * RECONNECTION_PERCENT / 100;
        let max_wait = bound.saturating_sub(answer_time);
        self.wait = self.wait.min(max_wait.max(bound / 5));
        self.relay_wait = self.relay_wait.min(self.wait);
        self
    }

    /// Timing for the servers: a leaving server is known within a fifth of the bound, and within
    /// one and a half times the bound if a hanging connection delayed the change.
    #[must_use]
    pub fn servers(drain_bound: Duration) -> Self {
        Self {
            wait: drain_bound * 5 / 4,
            interval: drain_bound / 5,
            startup_interval: drain_bound / 5,
            failure_pause: MAX_FAILURE_PAUSE.min(drain_bound / 5),
            relay_wait: drain_bound * 5 / 4,
            arrival_wait: drain_bound * ARRIVAL_WAIT_PERCENT / 100,
        }
        .with_relay_bound(drain_bound)
    }

    /// Timing for the gateways' announcements and their evidence of crashed servers, which is known
    /// within the bound even if a connection hangs at that moment.
    #[must_use]
    pub fn instances(crash_bound: Duration) -> Self {
        Self {
            wait: crash_bound * 2 / 5,
            interval: crash_bound / 8,
            startup_interval: STARTUP_INSTANCE_INTERVAL,
            failure_pause: MAX_FAILURE_PAUSE.min(crash_bound / 8),
            relay_wait: crash_bound * 2 / 5,
            arrival_wait: crash_bound * ARRIVAL_WAIT_PERCENT / 100,
        }
    }
}

//! How often the store is asked, worked out from the bounds that a deployment sets.
//!
//! Every call to the store is paid for, so each feed waits as long as its bound lets it.

use std::time::Duration;

/// Part of the bound on revoked keys for which keys are believed without word from the store, in
/// hundredths: the rest is for the way there and for late timers.
pub const KEY_AGE_PERCENT: u32 = 90;
/// Part of the bound on revoked keys for which a gateway is ready without word from the store, in
/// hundredths: soon after it, keyed requests are refused, and callers had better go elsewhere.
pub const READY_AGE_PERCENT: u32 = 56;
/// Part of a bound for which a poll whose answers are handed on waits, in hundredths: with the
/// time between two polls, a third of the bound is left to the one who hears nothing to ask by itself.
const HANDED_PERCENT: u32 = 40;
/// Pause after a failed call, at most.
const LONGEST_FAILURE_PAUSE: Duration = Duration::from_millis(350);
/// Shortest time between two polls for a gateway that has just started: others may start with it, as after a loss of power,
/// and while they do not know each other several make batches for the same servers.
const INSTANCES_BETWEEN_YOUNG: Duration = Duration::from_millis(50);
/// Time for which a feed is young: in it, gateways that lost power together are all back.
pub const YOUNG: Duration = Duration::from_secs(5);

/// How often the store is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedPace {
    /// Longest wait of one poll for changes.
    pub wait: Duration,
    /// Shortest time between two polls: what changes often is read in groups.
    pub between: Duration,
    /// The same while the feed is young.
    pub between_young: Duration,
    /// Pause after a failed call.
    pub after_failure: Duration,
    /// Longest wait of one poll whose answers are handed on.
    pub handed_wait: Duration,
}

impl FeedPace {
    /// Pace of the routing: half of the age up to which keys are believed.
    ///
    /// Guards against a connection that falls silent: the poll on the next one answers before the
    /// keys are too old, where a longer wait would refuse all keyed requests for a moment.
    #[must_use]
    pub fn routing(revoke_bound: Duration) -> Self {
        let believed = revoke_bound * KEY_AGE_PERCENT / 100;
        Self {
            wait: believed / 2,
            between: Duration::ZERO,
            between_young: Duration::ZERO,
            after_failure: LONGEST_FAILURE_PAUSE.min(believed / 10),
            handed_wait: believed / 2,
        }
    }

    /// Longest silence of a gateway that hands answers on, beside the ways there.
    #[must_use]
    pub fn handed_silence(&self) -> Duration {
        self.between + self.handed_wait
    }

    /// Lets those to whom answers are handed on know everything within a bound.
    ///
    /// Guards against a neighbour that is cut off from the store and does not know it yet: they go
    /// on without it within the bound, with time left to ask by themselves.
    #[must_use]
    pub fn heard_within(mut self, bound: Duration) -> Self {
        self.handed_wait = self.wait.min(bound * HANDED_PERCENT / 100);
        self
    }

    /// Pace of the servers: a leaving one is known within a fifth of the bound, and one whose news
    /// a silent connection lost, within the bound and a half.
    #[must_use]
    pub fn servers(drain_bound: Duration) -> Self {
        Self {
            wait: drain_bound * 5 / 4,
            between: drain_bound / 5,
            between_young: drain_bound / 5,
            after_failure: LONGEST_FAILURE_PAUSE.min(drain_bound / 5),
            handed_wait: drain_bound * 5 / 4,
        }
        .heard_within(drain_bound)
    }

    /// Pace of the gateways' announcements and of their word of crashed servers, which is known within
    /// the bound though a connection falls silent in that moment.
    #[must_use]
    pub fn instances(crash_bound: Duration) -> Self {
        Self {
            wait: crash_bound * 2 / 5,
            between: crash_bound / 8,
            between_young: INSTANCES_BETWEEN_YOUNG,
            after_failure: LONGEST_FAILURE_PAUSE.min(crash_bound / 8),
            handed_wait: crash_bound * 2 / 5,
        }
    }
}

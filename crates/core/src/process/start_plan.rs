//! From where an entry reads the store's tables at its start.
//!
//! Hundreds of entries that start together, as after a power failure, would each read all tables
//! from the store. So only the first entry of an availability zone reads them, and the others ask
//! those before them in the zone's order. The order is known from the announcements of the
//! incarnations that ended: addresses stay the same. An entry that gets no answer reads the store
//! itself, the later the further back it is, so that the loss of the first entries costs the store
//! a few reads and the others a bounded time.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::InstanceId;

/// Most entries that are asked, each only after those before it have failed or not answered.
const MAX_SOURCES: usize = 8;
/// Time without an answer after which the next entry is asked as well, and per entry before this
/// one after which this one reads the store: longer than a read of all tables takes.
const STEP: Duration = Duration::from_millis(150);
/// Most steps before an entry reads the store if it has reached no other entry.
const MAX_STEPS: u32 = 4;
/// Longest wait for an entry that was reached and has no tables yet, as while the store is slow.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Sources of the store's tables at a start. The default is the store alone.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::StartPlan;
///
/// let first = StartPlan::default();
/// assert!(first.sources().is_empty());
/// let second = StartPlan::behind(vec![("g1-a".parse()?, "10.1.0.1:7000".parse()?)]);
/// assert_eq!(second.ask_after(0), Duration::ZERO);
/// assert!(second.store_after(false) < second.store_after(true));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StartPlan {
    sources: Vec<(InstanceId, SocketAddr)>,
    steps: u32,
}

impl StartPlan {
    /// The plan of an entry behind others, which are given in order.
    #[must_use]
    pub fn behind(mut before: Vec<(InstanceId, SocketAddr)>) -> Self {
        let steps = u32::try_from(before.len()).unwrap_or(u32::MAX);
        before.truncate(MAX_SOURCES);
        Self {
            sources: before,
            steps: steps.min(MAX_STEPS),
        }
    }

    /// Entries to ask, with their addresses; none if the store is to be read at once.
    #[must_use]
    pub fn sources(&self) -> &[(InstanceId, SocketAddr)] {
        &self.sources
    }

    /// When to ask a source, from the start.
    #[must_use]
    pub fn ask_after(&self, index: usize) -> Duration {
        STEP * u32::try_from(index).unwrap_or(u32::MAX)
    }

    /// When to read the store, from the start, by whether a source was reached that has no tables
    /// yet.
    #[must_use]
    pub fn store_after(&self, is_reached: bool) -> Duration {
        let unreached = STEP * self.steps;
        if is_reached {
            MAX_HOLD + unreached
        } else {
            unreached
        }
    }
}

//! The planner's lease, stored in a row of the table.
//!
//! The lease lets one planner work at a time, but it guarantees nothing by itself: its holder may
//! be paused past the lease's expiry and resume as if it still held it. The guarantee comes from
//! the transaction that writes a plan, which checks that the lease row has not changed.
//!
//! The row contains no clock time. The holder renews the lease by writing the row again; another
//! planner takes over once the row has kept its version for the whole duration by its own clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConditionalWrite, Envelope};
use crate::id::{FencingNumber, HostId, Incarnation, RowVersion, WriteId};
use crate::unit::SidecarClock;
use crate::wire::{Row, RowCheck};

/// Row that holds the planner's lease.
pub const LEASE_KEY: &str = "planner-lease";
/// Renewals per lease duration; two may be lost before the lease expires.
const RENEWALS_PER_DURATION: u32 = 3;

/// Body of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host of the planner.
    pub holder: HostId,
    /// Incarnation of the planner's process.
    pub incarnation: Incarnation,
    /// Fencing number of this holder, higher than that of any earlier one.
    pub fencing: FencingNumber,
}

/// A lease that this process holds, as last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Version of the lease row.
    pub version: RowVersion,
}

impl HeldLease {
    /// The check that fails once the lease row has been written again.
    #[must_use]
    pub fn check(&self) -> RowCheck {
        RowCheck {
            key: LEASE_KEY.to_owned(),
            version: self.version,
        }
    }
}

/// One planner's view of the lease.
#[derive(Debug, Clone)]
pub struct PlannerLease {
    host: HostId,
    incarnation: Incarnation,
    duration: Duration,
    observed: Option<ObservedRow>,
}

/// The newest lease row read, and the time since when it has been current.
#[derive(Debug, Clone)]
struct ObservedRow {
    row: Row,
    since: SidecarClock,
}

impl PlannerLease {
    /// Creates a view that has not read the lease row yet.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation, duration: Duration) -> Self {
        Self {
            host,
            incarnation,
            duration,
            observed: None,
        }
    }

    /// Records the lease row as read or as written by us.
    ///
    /// `requested_at` is the time just before the request was sent, so that a slow reply cannot
    /// make our own lease seem longer than it is.
    pub fn observe(&mut self, row: &Row, requested_at: SidecarClock) {
        let is_newer = |observed: &ObservedRow| row.version > observed.row.version;
        if self.observed.as_ref().is_none_or(is_newer) {
            self.observed = Some(ObservedRow {
                row: row.clone(),
                since: requested_at,
            });
        }
    }

    /// The write that is due: a renewal of our lease, or a takeover of one that is free or expired.
    #[must_use]
    pub fn next_write(&self, now: SidecarClock, write_id: WriteId) -> Option<ConditionalWrite> {
        let observed = self.observed.as_ref()?;
        let unchanged_for = observed.since.until(now);
        let own = self.own_fencing(observed);
        let is_due = match own {
            Some(_) => unchanged_for >= self.duration / RENEWALS_PER_DURATION,
            None => is_absent(&observed.row) || unchanged_for >= self.duration,
        };
        if !is_due {
            return None;
        }
        let fencing = own.unwrap_or_else(|| next_fencing(&observed.row));
        Some(self.write_over(&observed.row, fencing, write_id))
    }

    /// The lease, if it is ours and has not expired by our clock.
    ///
    /// After a pause this may be out of date, so every transaction must include
    /// [`HeldLease::check`].
    #[must_use]
    pub fn held(&self, now: SidecarClock) -> Option<HeldLease> {
        let observed = self.observed.as_ref()?;
        let fencing = self.own_fencing(observed)?;
        let is_expired = observed.since.until(now) >= self.duration;
        (!is_expired).then_some(HeldLease {
            fencing,
            version: observed.row.version,
        })
    }

    fn own_fencing(&self, observed: &ObservedRow) -> Option<FencingNumber> {
        let envelope = Envelope::parse(&observed.row.value).ok()?;
        let lease: LeaseRow = serde_json::from_str(&envelope.body).ok()?;
        let is_ours = lease.holder == self.host && lease.incarnation == self.incarnation;
        is_ours.then_some(lease.fencing)
    }

    fn write_over(&self, row: &Row, fencing: FencingNumber, write_id: WriteId) -> ConditionalWrite {
        let lease = LeaseRow {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            fencing,
        };
        let body = serde_json::to_string(&lease).expect("a lease can be written as JSON");
        ConditionalWrite::new(LEASE_KEY, row.version, body, write_id).replacing(row)
    }
}

fn is_absent(row: &Row) -> bool {
    row.version == RowVersion::default()
}

/// A fencing number above that of every earlier holder.
///
/// Each write raises the row's version, so the version grows with each holder even if some row in
/// between is unreadable.
fn next_fencing(row: &Row) -> FencingNumber {
    FencingNumber::new(row.version.next().get())
}

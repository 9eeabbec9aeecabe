//! The lease of the one planner, kept in a row of the table.
//!
//! A lease keeps planners from working against each other; it keeps nothing safe by itself, since
//! its holder may be paused past its end and wake up still believing in it. Safety comes from the
//! transaction that writes a plan: it checks that the lease row has not moved on.
//!
//! No clock time is in the row. A holder renews by writing the row again; a rival takes over once
//! the row has shown the same version for the whole duration by the rival's own clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ConditionalWrite, Envelope};
use crate::id::{FencingNumber, HostId, Incarnation, RowVersion, WriteId};
use crate::unit::SidecarClock;
use crate::wire::{Row, RowCheck};

/// Row that holds the planner's lease.
pub const LEASE_KEY: &str = "planner-lease";
/// Renewals that fit into a lease's duration; two may be lost before the lease lapses.
const RENEWALS_PER_DURATION: u32 = 3;

/// Body of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host of the planner.
    pub holder: HostId,
    /// Life of the planner's process.
    pub incarnation: Incarnation,
    /// Number of this holder, higher than that of any before.
    pub fencing: FencingNumber,
}

/// Proof of a lease, as it was when last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Number of the holder.
    pub fencing: FencingNumber,
    /// Version of the lease row that shows it.
    pub version: RowVersion,
}

impl HeldLease {
    /// The check that fails once another has written the lease row.
    #[must_use]
    pub fn check(&self) -> RowCheck {
        RowCheck {
            key: LEASE_KEY.to_owned(),
            version: self.version,
        }
    }
}

/// One process's view of the planner's lease.
#[derive(Debug, Clone)]
pub struct PlannerLease {
    host: HostId,
    incarnation: Incarnation,
    duration: Duration,
    seen: Option<SeenRow>,
}

/// The newest lease row seen, and since when.
#[derive(Debug, Clone)]
struct SeenRow {
    row: Row,
    since: SidecarClock,
}

impl PlannerLease {
    /// Starts without knowing who holds the lease.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation, duration: Duration) -> Self {
        Self {
            host,
            incarnation,
            duration,
            seen: None,
        }
    }

    /// Takes a row as read, or as a write of ours left it.
    ///
    /// `asked` is the time just before the request was sent, so that a slow answer cannot make our
    /// own lease look longer than it is.
    pub fn observe(&mut self, row: &Row, asked: SidecarClock) {
        let is_newer = |seen: &SeenRow| row.version > seen.row.version;
        if self.seen.as_ref().is_none_or(is_newer) {
            self.seen = Some(SeenRow {
                row: row.clone(),
                since: asked,
            });
        }
    }

    /// The write that is due: to renew our lease, or to take over one that is free or has lapsed.
    #[must_use]
    pub fn next_write(&self, now: SidecarClock, write_id: WriteId) -> Option<ConditionalWrite> {
        let seen = self.seen.as_ref()?;
        let silence = seen.since.until(now);
        let own = self.own_fencing(seen);
        let is_due = match own {
            Some(_) => silence >= self.duration / RENEWALS_PER_DURATION,
            None => is_absent(&seen.row) || silence >= self.duration,
        };
        if !is_due {
            return None;
        }
        let fencing = own.unwrap_or_else(|| next_fencing(&seen.row));
        Some(self.write_over(&seen.row, fencing, write_id))
    }

    /// The lease, if it is ours and has not lapsed by our clock.
    ///
    /// After a pause this may be outdated; [`HeldLease::check`] belongs into every transaction.
    #[must_use]
    pub fn held(&self, now: SidecarClock) -> Option<HeldLease> {
        let seen = self.seen.as_ref()?;
        let fencing = self.own_fencing(seen)?;
        let is_lapsed = seen.since.until(now) >= self.duration;
        (!is_lapsed).then_some(HeldLease {
            fencing,
            version: seen.row.version,
        })
    }

    fn own_fencing(&self, seen: &SeenRow) -> Option<FencingNumber> {
        let envelope = Envelope::parse(&seen.row.value).ok()?;
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
        // Reached only if a lease came to hold something that JSON cannot carry: a bug.
        let body = serde_json::to_string(&lease).expect("a lease has a form in JSON");
        ConditionalWrite::new(LEASE_KEY, row.version, body, write_id).replacing(row)
    }
}

fn is_absent(row: &Row) -> bool {
    row.version == RowVersion::default()
}

/// A number above that of every holder before.
///
/// Each write raises the row's version, so the version grows with each holder even if a row in
/// between cannot be read.
fn next_fencing(row: &Row) -> FencingNumber {
    FencingNumber::new(row.version.next().get())
}

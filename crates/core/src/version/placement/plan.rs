//! The wanted placement, and how its planner writes it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Assignment;
use crate::id::{FencingNumber, HostId, WriteId};
use crate::version::{ConditionalWrite, Envelope, HeldLease};
use crate::wire::Row;

/// Row that holds the wanted placement.
pub const PLACEMENT_KEY: &str = "placement";

/// What every engine is to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the planner that wrote it.
    pub fencing: FencingNumber,
    /// Assignment by host of the engine; a host not named keeps what it has.
    pub assignments: BTreeMap<HostId, Assignment>,
}

impl Placement {
    /// Reads a row of the table; none if no planner of ours wrote it.
    #[must_use]
    pub fn parse(row: &Row) -> Option<Self> {
        let envelope = Envelope::parse(&row.value).ok()?;
        serde_json::from_str(&envelope.body).ok()
    }
}

/// Writes a plan over the one that its planner has read.
///
/// A planner that was paused past the end of its lease wakes up and writes what it had planned. It
/// would undo the plan of its successor, so the transaction also checks the lease row: that row has
/// moved on with the successor's claim, and the whole write fails.
///
/// # Panics
///
/// Never for a placement, whose types all have a form in JSON.
#[must_use]
pub fn placement_write(
    lease: &HeldLease,
    current: &Row,
    assignments: BTreeMap<HostId, Assignment>,
    write_id: WriteId,
) -> ConditionalWrite {
    let placement = Placement {
        fencing: lease.fencing,
        assignments,
    };
    // Reached only if a placement came to hold something that JSON cannot carry: a bug.
    let body = serde_json::to_string(&placement).expect("a placement has a form in JSON");
    ConditionalWrite::new(PLACEMENT_KEY, current.version, body, write_id)
        .replacing(current)
        .also_checking(lease.check())
}

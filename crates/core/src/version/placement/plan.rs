//! The wanted placement, and how its planner writes it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Assignment;
use crate::id::{FencingNumber, HostId, PlacementVersion, TreeVersion, WriteId};
use crate::version::{ConditionalWrite, Envelope, HeldLease};
use crate::wire::{Row, RowWrite};

/// Row that holds the wanted placement.
pub const PLACEMENT_KEY: &str = "placement";
/// Row that holds the placement's version alone.
///
/// The placement of 660 engines is some fifty kilobytes long; whoever polls reads this row, and the
/// placement only once it has moved.
pub const PLACEMENT_HEAD_KEY: &str = "placement/head";

/// The write of the head row that goes with a version of the placement.
#[must_use]
pub fn placement_head(version: PlacementVersion) -> RowWrite {
    RowWrite {
        key: PLACEMENT_HEAD_KEY.to_owned(),
        value: version.to_string(),
    }
}

/// The version that a head row tells; none if there is none yet or it cannot be read.
#[must_use]
pub fn read_placement_head(row: &Row) -> Option<PlacementVersion> {
    row.value.parse().ok()
}

/// What every engine is to run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the planner that wrote it.
    pub fencing: FencingNumber,
    /// Settings tree that it was planned from.
    #[serde(default)]
    pub tree_version: TreeVersion,
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
    tree_version: TreeVersion,
    assignments: BTreeMap<HostId, Assignment>,
    write_id: WriteId,
) -> ConditionalWrite {
    let placement = Placement {
        fencing: lease.fencing,
        tree_version,
        assignments,
    };
    let version = PlacementVersion::new(current.version.next().get());
    // Reached only if a placement came to hold something that JSON cannot carry: a bug.
    let body = serde_json::to_string(&placement).expect("a placement has a form in JSON");
    ConditionalWrite::new(PLACEMENT_KEY, current.version, body, write_id)
        .replacing(current)
        .also_checking(lease.check())
        .also_writing(placement_head(version))
}

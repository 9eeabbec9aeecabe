//! The wanted placement, and the writes of its planner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Assignment;
use crate::id::{FencingNumber, HostId, PlacementVersion, TreeVersion, WriteId};
use crate::version::{ConditionalWrite, Envelope, HeldLease};
use crate::wire::{Row, RowWrite};

/// Row that holds the wanted placement.
pub const PLACEMENT_KEY: &str = "placement";
/// Row that holds only the placement's version.
///
/// The placement of 660 engines is about fifty kilobytes long, so pollers read this row, and the
/// placement only when its version has changed.
pub const PLACEMENT_HEAD_KEY: &str = "placement/head";

/// The write of the head row for a version of the placement.
#[must_use]
pub fn placement_head(version: PlacementVersion) -> RowWrite {
    RowWrite {
        key: PLACEMENT_HEAD_KEY.to_owned(),
        value: version.to_string(),
    }
}

/// Parses the version in a head row; `None` if the row is absent or unreadable.
#[must_use]
pub fn read_placement_head(row: &Row) -> Option<PlacementVersion> {
    row.value.parse().ok()
}

/// The assignments of all engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing number of the planner that wrote it.
    pub fencing: FencingNumber,
    /// Version of the settings tree that it was planned from.
    #[serde(default)]
    pub tree_version: TreeVersion,
    /// Assignment by host of the engine; a host that is absent is left as it is.
    pub assignments: BTreeMap<HostId, Assignment>,
}

impl Placement {
    /// Parses a row of the table; `None` if it is not a placement.
    #[must_use]
    pub fn parse(row: &Row) -> Option<Self> {
        let envelope = Envelope::parse(&row.value).ok()?;
        serde_json::from_str(&envelope.body).ok()
    }
}

/// Builds the write of a plan over the placement that its planner has read.
///
/// A planner that was paused past the expiry of its lease may resume and write an outdated plan,
/// undoing the plan of its successor. So the transaction also checks the lease row: the successor
/// has written it, and the whole transaction fails.
///
/// # Panics
///
/// Never: all types of a placement can be written as JSON.
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
    let body = serde_json::to_string(&placement).expect("a placement can be written as JSON");
    ConditionalWrite::new(PLACEMENT_KEY, current.version, body, write_id)
        .replacing(current)
        .also_checking(lease.check())
        .also_writing(placement_head(version))
}

//! The newest placement that a process has read.

use super::{PLACEMENT_KEY, Placement};
use crate::id::PlacementVersion;
use crate::wire::Row;

/// Result of observing a placement row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementUpdate {
    /// The row is newer and has replaced the view.
    Applied,
    /// The view already has this version or a newer one.
    NotNewer,
    /// The row is unreadable; the view is unchanged.
    Corrupt,
}

/// The newest placement that a process has read; its version never decreases.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementView {
    is_read: bool,
    version: PlacementVersion,
    placement: Placement,
}

impl PlacementView {
    /// Creates a view before the placement was read.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a row, if it is newer.
    ///
    /// Replies of the table may arrive out of order. Applying an older row would make an engine
    /// unload the model it has just loaded, so only a higher version is applied.
    pub fn observe(&mut self, row: &Row) -> PlacementUpdate {
        let version = PlacementVersion::new(row.version.get());
        if row.key != PLACEMENT_KEY {
            return PlacementUpdate::Corrupt;
        }
        if version <= self.version {
            // An absent row has version 0 and counts as read.
            self.is_read = true;
            return PlacementUpdate::NotNewer;
        }
        let Some(placement) = Placement::parse(row) else {
            return PlacementUpdate::Corrupt;
        };
        self.is_read = true;
        self.version = version;
        self.placement = placement;
        PlacementUpdate::Applied
    }

    /// Whether the row has been read since the process started.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Version of the placement; 0 before one was read.
    #[must_use]
    pub fn version(&self) -> PlacementVersion {
        self.version
    }

    /// The newest placement.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

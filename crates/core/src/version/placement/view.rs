//! The newest placement that a process has seen.

use super::{PLACEMENT_KEY, Placement};
use crate::id::PlacementVersion;
use crate::wire::Row;

/// What came of a row offered to a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementUpdate {
    /// It is newer and is the view now.
    Applied,
    /// The view has this version or a newer one.
    NotNewer,
    /// It cannot be read; the view stays.
    Corrupt,
}

/// The newest placement that a process has seen; it only moves up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementView {
    is_read: bool,
    version: PlacementVersion,
    placement: Placement,
}

impl PlacementView {
    /// Starts without having read the placement.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a row, if it is newer.
    ///
    /// Answers of the table overtake each other. Following an older one would show as an engine
    /// that unloads the model it has just loaded, so only a higher version counts.
    pub fn observe(&mut self, row: &Row) -> PlacementUpdate {
        let version = PlacementVersion::new(row.version.get());
        if row.key != PLACEMENT_KEY {
            return PlacementUpdate::Corrupt;
        }
        if version <= self.version {
            // An absent row has version 0: it is read, and there is nothing to do.
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

    /// Whether the row was read since the process started.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Version of the placement; 0 while none is known.
    #[must_use]
    pub fn version(&self) -> PlacementVersion {
        self.version
    }

    /// The placement.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

//! A copy of one of the store's tables, to hand on to others.
//!
//! Holds what the store said, row for row, with the store's own versions and clock beside it, so
//! that who gets it from here knows as much as from the store itself, and how old it is. Dropped rows
//! are remembered for some time: what is asked for from before that is told whole.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RowVersion;

/// Dropped rows that are remembered: about as many as a store keeps of its history when thousands
/// of rows are replaced in turn.
const MOST_DROPPED: usize = 4_096;

/// What became of a table since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges<V> {
    /// All its rows: what was dropped since then is no longer known.
    Full(Vec<(String, V, RowVersion)>),
    /// Rows that were written, and those that were dropped without a value.
    Incremental(Vec<(String, Option<V>, RowVersion)>),
}

/// A copy of a table.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::id::RowVersion;
/// use amaranthscale_core::version::{TableChanges, TableCopy};
///
/// let mut copy = TableCopy::default();
/// let row = ("a".to_owned(), "first", RowVersion::new(3));
/// copy.replace([row], RowVersion::new(7), Duration::from_secs(1));
/// let gone = ("a".to_owned(), None, RowVersion::new(8));
/// copy.change([gone.clone()], RowVersion::new(8), Duration::from_secs(2));
/// assert_eq!(copy.changes_since(RowVersion::new(7)), TableChanges::Incremental(vec![gone]));
/// assert_eq!(copy.changes_since(RowVersion::new(2)), TableChanges::Full(Vec::new()));
/// ```
#[derive(Debug, Clone)]
pub struct TableCopy<V> {
    rows: BTreeMap<String, (V, RowVersion)>,
    dropped: BTreeMap<RowVersion, Vec<String>>,
    dropped_rows: usize,
    /// Version from which on all that was dropped is known.
    known_from: RowVersion,
    version: RowVersion,
    clock: Duration,
}

impl<V> Default for TableCopy<V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            dropped: BTreeMap::new(),
            dropped_rows: 0,
            known_from: RowVersion::new(0),
            version: RowVersion::new(0),
            clock: Duration::ZERO,
        }
    }
}

impl<V: Clone> TableCopy<V> {
    /// Takes the whole table as of a moment of the store's clock.
    pub fn replace(
        &mut self,
        rows: impl IntoIterator<Item = (String, V, RowVersion)>,
        version: RowVersion,
        clock: Duration,
    ) {
        let rows = rows.into_iter();
        self.rows = rows
            .map(|(key, value, version)| (key, (value, version)))
            .collect();
        self.dropped.clear();
        self.dropped_rows = 0;
        self.known_from = version;
        self.version = version;
        self.clock = self.clock.max(clock);
    }

    /// Takes changes as of a moment of the store's clock.
    pub fn change(
        &mut self,
        rows: impl IntoIterator<Item = (String, Option<V>, RowVersion)>,
        version: RowVersion,
        clock: Duration,
    ) {
        for (key, value, version) in rows {
            if let Some(value) = value {
                self.rows.insert(key, (value, version));
            } else {
                self.rows.remove(&key);
                self.dropped.entry(version).or_default().push(key);
                self.dropped_rows += 1;
            }
        }
        self.version = self.version.max(version);
        self.clock = self.clock.max(clock);
        while self.dropped_rows > MOST_DROPPED
            && let Some((version, keys)) = self.dropped.pop_first()
        {
            self.dropped_rows -= keys.len();
            self.known_from = self.known_from.max(version);
        }
    }

    /// A row and its version.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<(&V, RowVersion)> {
        self.rows.get(key).map(|(value, version)| (value, *version))
    }

    /// All rows and their versions, in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &V, RowVersion)> {
        let rows = self.rows.iter();
        rows.map(|(key, (value, version))| (key.as_str(), value, *version))
    }

    /// The version that it is as of.
    #[must_use]
    pub const fn version(&self) -> RowVersion {
        self.version
    }

    /// The store's clock at the moment that it is as of.
    #[must_use]
    pub const fn clock(&self) -> Duration {
        self.clock
    }

    /// What became of the table since a version.
    #[must_use]
    pub fn changes_since(&self, version: RowVersion) -> TableChanges<V> {
        if version < self.known_from {
            let rows = self.rows.iter();
            let rows = rows.map(|(key, (value, version))| (key.clone(), value.clone(), *version));
            return TableChanges::Full(rows.collect());
        }
        let written = self.rows.iter().filter(|(_, (_, of))| *of > version);
        let written =
            written.map(|(key, (value, version))| (key.clone(), Some(value.clone()), *version));
        // A key that was written again after it was dropped is a row, and its end is no news.
        let dropped = self.dropped.iter().filter(|(of, _)| **of > version);
        let dropped = dropped.flat_map(|(of, keys)| keys.iter().map(|key| (key.clone(), *of)));
        let dropped = dropped.filter(|(key, _)| !self.rows.contains_key(key));
        let dropped = dropped.map(|(key, version)| (key, None, version));
        TableChanges::Incremental(written.chain(dropped).collect())
    }
}

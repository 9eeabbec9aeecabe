//! A copy of one of the store's tables, from which other entries can read it.
//!
//! The copy has the store's rows with the store's own versions and clock, so that a reader gets the
//! same data as from the store itself, and its age. Dropped rows are retained for some time;
//! changes since a version before that are answered with the whole table.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RowVersion;

/// Maximum dropped rows retained: about as many as a store retains in its history when thousands of
/// rows are replaced in turn.
const MAX_DROPPED_ROWS: usize = 4_096;

/// Changes of a table since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges<V> {
    /// All rows of the table; the rows dropped since then are no longer known.
    Full(Vec<(String, V, RowVersion)>),
    /// Rows that were written, and dropped ones without a value.
    Incremental(Vec<(String, Option<V>, RowVersion)>),
}

/// A copy of one of the store's tables.
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
    /// Version since which all dropped rows are known.
    complete_since: RowVersion,
    version: RowVersion,
    clock: Duration,
}

impl<V> Default for TableCopy<V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            dropped: BTreeMap::new(),
            dropped_rows: 0,
            complete_since: RowVersion::new(0),
            version: RowVersion::new(0),
            clock: Duration::ZERO,
        }
    }
}

impl<V: Clone> TableCopy<V> {
    /// Replaces all rows with the table as of a version and time of the store.
    ///
    /// Rows of an earlier copy that are missing now count as dropped at that version: whoever has
    /// the earlier copy needs only what changed, as after the store has lost its history. In a new
    /// era of the store, everybody else needs the whole table: it lacks rows that this copy may never
    /// have had.
    pub fn replace(
        &mut self,
        rows: impl IntoIterator<Item = (String, V, RowVersion)>,
        version: RowVersion,
        clock: Duration,
    ) {
        let rows = rows.into_iter();
        let rows: BTreeMap<_, _> = rows
            .map(|(key, value, version)| (key, (value, version)))
            .collect();
        if self.version == RowVersion::new(0) || self.version.era() < version.era() {
            self.complete_since = version;
        }
        let replaced = std::mem::replace(&mut self.rows, rows);
        for key in replaced.into_keys() {
            if !self.rows.contains_key(&key) {
                self.record_dropped(key, version);
            }
        }
        self.version = self.version.max(version);
        self.clock = self.clock.max(clock);
        self.forget_oldest_dropped();
    }

    /// Applies changes as of a version and time of the store.
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
                self.record_dropped(key, version);
            }
        }
        self.version = self.version.max(version);
        self.clock = self.clock.max(clock);
        self.forget_oldest_dropped();
    }

    fn record_dropped(&mut self, key: String, version: RowVersion) {
        self.dropped.entry(version).or_default().push(key);
        self.dropped_rows += 1;
    }

    fn forget_oldest_dropped(&mut self) {
        while self.dropped_rows > MAX_DROPPED_ROWS
            && let Some((version, keys)) = self.dropped.pop_first()
        {
            self.dropped_rows -= keys.len();
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// A row and its version.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<(&V, RowVersion)> {
        self.rows.get(key).map(|(value, version)| (value, *version))
    }

    /// All rows and their versions, in order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &V, RowVersion)> {
        let rows = self.rows.iter();
        rows.map(|(key, (value, version))| (key.as_str(), value, *version))
    }

    /// Version of the store's table that it reflects.
    #[must_use]
    pub const fn version(&self) -> RowVersion {
        self.version
    }

    /// Time by the store's clock that it reflects.
    #[must_use]
    pub const fn clock(&self) -> Duration {
        self.clock
    }

    /// Changes of the table since a version.
    #[must_use]
    pub fn changes_since(&self, version: RowVersion) -> TableChanges<V> {
        if version < self.complete_since {
            let rows = self.rows.iter();
            let rows = rows.map(|(key, (value, version))| (key.clone(), value.clone(), *version));
            return TableChanges::Full(rows.collect());
        }
        let written = self.rows.iter().filter(|(_, (_, of))| *of > version);
        let written =
            written.map(|(key, (value, version))| (key.clone(), Some(value.clone()), *version));
        // A key that was written again after it was dropped is listed as a row only.
        let dropped = self.dropped.iter().filter(|(of, _)| **of > version);
        let dropped = dropped.flat_map(|(of, keys)| keys.iter().map(|key| (key.clone(), *of)));
        let dropped = dropped.filter(|(key, _)| !self.rows.contains_key(key));
        let dropped = dropped.map(|(key, version)| (key, None, version));
        TableChanges::Incremental(written.chain(dropped).collect())
    }
}

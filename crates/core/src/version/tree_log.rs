//! The tree that a process goes by, and the edits that led there.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{CompiledTree, EditRecord, SettingsTree, TreeError, TreeLogError};
use crate::id::TreeVersion;
use crate::wire::TreeReply;

/// Edits kept for processes that are behind; whoever is further behind gets the whole tree.
const DEFAULT_KEPT_EDITS: usize = 256;

/// What taking a reply changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TreeUpdate {
    /// The reply held nothing newer.
    Unchanged,
    /// A newer version is in force.
    Updated {
        /// Version before.
        from: TreeVersion,
        /// Version now.
        to: TreeVersion,
    },
}

/// The tree in force in one process.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::{SettingsTree, TreeLog, TreeUpdate};
///
/// let ahead = TreeLog::new(SettingsTree::empty())?;
/// let mut behind = TreeLog::new(SettingsTree::empty())?;
/// let reply = ahead.changes_since(behind.version());
/// assert_eq!(behind.apply_reply(reply)?, TreeUpdate::Unchanged);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone)]
pub struct TreeLog {
    current: Arc<CompiledTree>,
    /// Edits without gaps, the last one leading to the current version.
    edits: VecDeque<EditRecord>,
    kept_edits: usize,
}

impl TreeLog {
    /// Starts from a tree.
    pub fn new(tree: SettingsTree) -> Result<Self, TreeError> {
        Ok(Self {
            current: Arc::new(CompiledTree::new(tree)?),
            edits: VecDeque::new(),
            kept_edits: DEFAULT_KEPT_EDITS,
        })
    }

    /// Sets how many edits are kept for processes that are behind.
    #[must_use]
    pub fn keeping_edits(mut self, kept_edits: usize) -> Self {
        self.kept_edits = kept_edits;
        self.forget_oldest();
        self
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> TreeVersion {
        self.current.version()
    }

    /// Tree in force; a request keeps the one it was admitted by.
    #[must_use]
    pub fn current(&self) -> &Arc<CompiledTree> {
        &self.current
    }

    /// The kept edits after a version, oldest first.
    pub fn edits_after(&self, version: TreeVersion) -> impl Iterator<Item = &EditRecord> {
        self.edits.iter().filter(move |edit| edit.version > version)
    }

    /// Takes what is newer in a reply, wholly or not at all.
    pub fn apply_reply(&mut self, reply: TreeReply) -> Result<TreeUpdate, TreeLogError> {
        match reply {
            TreeReply::UpToDate(_) => Ok(TreeUpdate::Unchanged),
            TreeReply::Edits { edits, .. } => self.take_edits(&edits),
            TreeReply::Whole { version, tree } => self.take_whole(version, &tree),
        }
    }

    /// Takes one edit that this process read from or wrote to the table.
    pub fn apply_record(&mut self, record: EditRecord) -> Result<TreeUpdate, TreeLogError> {
        self.take_records(vec![record])
    }

    /// Answers a process that has a version.
    #[must_use]
    pub fn changes_since(&self, version: TreeVersion) -> TreeReply {
        if version >= self.version() {
            return TreeReply::UpToDate(self.version());
        }
        let oldest = self.edits.front().map(|edit| edit.version);
        let is_kept = oldest.is_some_and(|oldest| oldest <= version.next());
        if is_kept {
            let edits = self.edits_after(version).map(EditRecord::to_json).collect();
            let after = version;
            return TreeReply::Edits { after, edits };
        }
        TreeReply::Whole {
            version: self.version(),
            tree: self.current.tree().to_json(),
        }
    }

    fn take_edits(&mut self, edits: &[String]) -> Result<TreeUpdate, TreeLogError> {
        let read = |text: &String| {
            let record = EditRecord::from_json(text);
            record.map_err(|cause| TreeLogError::Invalid(self.version(), cause))
        };
        let records: Result<Vec<_>, _> = edits.iter().map(read).collect();
        self.take_records(records?)
    }

    /// Takes records in order. The last version is checked as a whole; those before it were
    /// checked when they were accepted, and a check of each would hold up a process for long.
    fn take_records(&mut self, records: Vec<EditRecord>) -> Result<TreeUpdate, TreeLogError> {
        let newer = self.newer(records)?;
        if newer.is_empty() {
            return Ok(TreeUpdate::Unchanged);
        }
        let mut tree = self.current.tree().clone();
        for record in &newer {
            let advanced = tree.advance(&record.edit);
            advanced.map_err(|cause| TreeLogError::Invalid(record.version, cause))?;
        }
        let taken = self.put_in_force(tree)?;
        self.edits.extend(newer);
        self.forget_oldest();
        Ok(taken)
    }

    /// The records after the version in force, without gaps.
    fn newer(&self, records: Vec<EditRecord>) -> Result<Vec<EditRecord>, TreeLogError> {
        let mut last = self.version();
        let mut newer = Vec::new();
        for record in records {
            // Failure: a peer that was paused for an hour, or a doubled reply, brings edits that
            // are in force here long since, and taking them again would undo later ones. Guard:
            // only the edit right after the present version is applied; an older one is compared
            // and dropped.
            if record.version <= last {
                self.check_same(&record)?;
                continue;
            }
            // Failure: a lost edit before this one would leave a suspended organisation running
            // here for good, as no later edit repeats it. Guard: nothing is taken across a gap,
            // and the version stays low, so that the process asks again for all that it lacks.
            if record.version != last.next() {
                return Err(TreeLogError::Gap(last, record.version));
            }
            last = record.version;
            newer.push(record);
        }
        Ok(newer)
    }

    fn take_whole(&mut self, version: TreeVersion, tree: &str) -> Result<TreeUpdate, TreeLogError> {
        // Failure: a peer that just woke, or a snapshot row that lags the head, offers a tree
        // older than the one in force, and an accepted edit would be undone. Guard: a tree is
        // taken only if its version is higher, whoever sends it.
        if version <= self.version() {
            return Ok(TreeUpdate::Unchanged);
        }
        let tree = SettingsTree::from_json(tree);
        let tree = tree.map_err(|cause| TreeLogError::Invalid(version, cause))?;
        if tree.version != version {
            return Err(TreeLogError::VersionMismatch(version, tree.version));
        }
        let taken = self.put_in_force(tree)?;
        self.edits.clear();
        Ok(taken)
    }

    fn put_in_force(&mut self, tree: SettingsTree) -> Result<TreeUpdate, TreeLogError> {
        let from = self.version();
        let to = tree.version;
        let compiled = CompiledTree::new(tree);
        let compiled = compiled.map_err(|cause| TreeLogError::Invalid(to, cause))?;
        self.current = Arc::new(compiled);
        Ok(TreeUpdate::Updated { from, to })
    }

    /// Two edits under one version mean that the table or a peer broke its word.
    fn check_same(&self, theirs: &EditRecord) -> Result<(), TreeLogError> {
        let mut kept = self.edits.iter();
        let ours = kept.find(|ours| ours.version == theirs.version);
        match ours {
            Some(ours) if ours.write_id != theirs.write_id => Err(TreeLogError::Diverged(
                theirs.version,
                ours.write_id.clone(),
                theirs.write_id.clone(),
            )),
            _ => Ok(()),
        }
    }

    fn forget_oldest(&mut self) {
        let surplus = self.edits.len().saturating_sub(self.kept_edits);
        self.edits.drain(..surplus);
    }
}

//! The tree in force in a process, and its latest edits.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{CompiledTree, EditRecord, SettingsTree, TreeError, TreeLogError};
use crate::id::TreeVersion;
use crate::wire::TreeReply;

/// Edits retained for processes that are behind; a process further behind gets the whole tree.
const DEFAULT_MAX_EDITS: usize = 256;

/// Result of applying a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TreeUpdate {
    /// The reply contained nothing newer.
    Unchanged,
    /// A newer version is in force.
    Updated {
        /// Previous version.
        from: TreeVersion,
        /// Current version.
        to: TreeVersion,
    },
}

/// The tree in force in a process, with its latest edits.
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
    /// Consecutive edits, the last of which created the current version.
    edits: VecDeque<EditRecord>,
    max_edits: usize,
}

impl TreeLog {
    /// Creates a log that starts from a tree.
    pub fn new(tree: SettingsTree) -> Result<Self, TreeError> {
        Ok(Self {
            current: Arc::new(CompiledTree::new(tree)?),
            edits: VecDeque::new(),
            max_edits: DEFAULT_MAX_EDITS,
        })
    }

    /// Sets how many edits are retained for processes that are behind.
    #[must_use]
    pub fn with_max_edits(mut self, max_edits: usize) -> Self {
        self.max_edits = max_edits;
        self.drop_oldest_edits();
        self
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> TreeVersion {
        self.current.version()
    }

    /// Tree in force; a request keeps using the tree that it was admitted with.
    #[must_use]
    pub fn current(&self) -> &Arc<CompiledTree> {
        &self.current
    }

    /// The retained edits after a version, oldest first.
    pub fn edits_after(&self, version: TreeVersion) -> impl Iterator<Item = &EditRecord> {
        self.edits.iter().filter(move |edit| edit.version > version)
    }

    /// Applies what is newer in a reply, completely or not at all.
    pub fn apply_reply(&mut self, reply: TreeReply) -> Result<TreeUpdate, TreeLogError> {
        match reply {
            TreeReply::UpToDate(_) => Ok(TreeUpdate::Unchanged),
            TreeReply::Edits { edits, .. } => self.apply_edits(&edits),
            TreeReply::Whole { version, tree } => self.apply_tree(version, &tree),
        }
    }

    /// Applies one edit that this process read from or wrote to the table.
    pub fn apply_record(&mut self, record: EditRecord) -> Result<TreeUpdate, TreeLogError> {
        self.apply_records(vec![record])
    }

    /// The reply to a process that has the given version.
    #[must_use]
    pub fn changes_since(&self, version: TreeVersion) -> TreeReply {
        if version >= self.version() {
            return TreeReply::UpToDate(self.version());
        }
        let oldest = self.edits.front().map(|edit| edit.version);
        let has_next_edit = oldest.is_some_and(|oldest| oldest <= version.next());
        if has_next_edit {
            let edits = self.edits_after(version).map(EditRecord::to_json).collect();
            let after = version;
            return TreeReply::Edits { after, edits };
        }
        TreeReply::Whole {
            version: self.version(),
            tree: self.current.tree().to_json(),
        }
    }

    fn apply_edits(&mut self, edits: &[String]) -> Result<TreeUpdate, TreeLogError> {
        let read = |text: &String| {
            let record = EditRecord::from_json(text);
            record.map_err(|cause| TreeLogError::Invalid(self.version(), cause))
        };
        let records: Result<Vec<_>, _> = edits.iter().map(read).collect();
        self.apply_records(records?)
    }

    /// Applies records in order. Only the last version is validated as a whole: each earlier one
    /// was validated when it was accepted, and validating all of them would block the process too
    /// long.
    fn apply_records(&mut self, records: Vec<EditRecord>) -> Result<TreeUpdate, TreeLogError> {
        let newer_records = self.newer_records(records)?;
        if newer_records.is_empty() {
            return Ok(TreeUpdate::Unchanged);
        }
        let mut tree = self.current.tree().clone();
        for record in &newer_records {
            let advanced = tree.apply_unchecked(&record.edit);
            advanced.map_err(|cause| TreeLogError::Invalid(record.version, cause))?;
        }
        let update = self.put_in_force(tree)?;
        self.edits.extend(newer_records);
        self.drop_oldest_edits();
        Ok(update)
    }

    /// Selects the records after the version in force; fails if one is missing.
    fn newer_records(&self, records: Vec<EditRecord>) -> Result<Vec<EditRecord>, TreeLogError> {
        let mut last = self.version();
        let mut newer_records = Vec::new();
        for record in records {
            // A peer that was paused for an hour, or a duplicate reply, may deliver edits that are
            // already in force here, and applying them again would undo later ones. So only the
            // edit that follows the current version is applied; an older one is compared with the
            // retained one and dropped.
            if record.version <= last {
                self.check_not_diverged(&record)?;
                continue;
            }
            // If an edit before this one was lost, for example a suspension, no later edit would
            // repeat it. So nothing is applied across a gap; the version stays as it is, and the
            // process requests all missing edits again.
            if record.version != last.next() {
                return Err(TreeLogError::Gap(last, record.version));
            }
            last = record.version;
            newer_records.push(record);
        }
        Ok(newer_records)
    }

    fn apply_tree(&mut self, version: TreeVersion, tree: &str) -> Result<TreeUpdate, TreeLogError> {
        // A peer that was paused, or a snapshot row that lags behind the head, may deliver a tree
        // older than the one in force, which would undo accepted edits. So a tree is applied only
        // if its version is higher, regardless of the sender.
        if version <= self.version() {
            return Ok(TreeUpdate::Unchanged);
        }
        let tree = SettingsTree::from_json(tree);
        let tree = tree.map_err(|cause| TreeLogError::Invalid(version, cause))?;
        if tree.version != version {
            return Err(TreeLogError::VersionMismatch(version, tree.version));
        }
        let update = self.put_in_force(tree)?;
        self.edits.clear();
        Ok(update)
    }

    fn put_in_force(&mut self, tree: SettingsTree) -> Result<TreeUpdate, TreeLogError> {
        let from = self.version();
        let to = tree.version;
        let compiled = CompiledTree::new(tree);
        let compiled = compiled.map_err(|cause| TreeLogError::Invalid(to, cause))?;
        self.current = Arc::new(compiled);
        Ok(TreeUpdate::Updated { from, to })
    }

    /// Checks that an edit equals the retained one of its version; otherwise the table or a peer is
    /// faulty.
    fn check_not_diverged(&self, theirs: &EditRecord) -> Result<(), TreeLogError> {
        let mut retained = self.edits.iter();
        let ours = retained.find(|ours| ours.version == theirs.version);
        match ours {
            Some(ours) if ours.write_id != theirs.write_id => Err(TreeLogError::Diverged(
                theirs.version,
                ours.write_id.clone(),
                theirs.write_id.clone(),
            )),
            _ => Ok(()),
        }
    }

    fn drop_oldest_edits(&mut self) {
        let surplus = self.edits.len().saturating_sub(self.max_edits);
        self.edits.drain(..surplus);
    }
}

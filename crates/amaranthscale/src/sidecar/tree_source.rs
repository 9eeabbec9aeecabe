//! Access to the settings tree that a sidecar shares with its peers.

use std::fmt;
use std::sync::Arc;

use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::wire::{TreeReply, TreeRequest};

type ChangesSince = dyn Fn(&TreeRequest) -> TreeReply + Send + Sync;
type Version = dyn Fn() -> TreeVersion + Send + Sync;
type ReportVersion = dyn Fn(TreeVersion) + Send + Sync;

/// Functions of the owner of the settings tree in this process.
#[derive(Clone)]
pub struct TreeSource {
    changes_since: Arc<ChangesSince>,
    version: Arc<Version>,
    report_version: Arc<ReportVersion>,
}

impl TreeSource {
    /// Creates a source from three functions, none of which may block.
    ///
    /// `changes_since` answers a peer with an older tree, `version` returns the current version,
    /// and `report_version` receives each version that a peer reports.
    pub fn new(
        changes_since: impl Fn(&TreeRequest) -> TreeReply + Send + Sync + 'static,
        version: impl Fn() -> TreeVersion + Send + Sync + 'static,
        report_version: impl Fn(TreeVersion) + Send + Sync + 'static,
    ) -> Self {
        Self {
            changes_since: Arc::new(changes_since),
            version: Arc::new(version),
            report_version: Arc::new(report_version),
        }
    }

    /// Answers a peer that asks for changes since its version.
    #[must_use]
    pub fn changes_since(&self, request: &TreeRequest) -> TreeReply {
        (self.changes_since)(request)
    }

    /// The current version.
    #[must_use]
    pub fn version(&self) -> TreeVersion {
        (self.version)()
    }

    /// Passes on a version that a peer reported.
    pub fn report_version(&self, version: TreeVersion) {
        (self.report_version)(version);
    }
}

impl Default for TreeSource {
    fn default() -> Self {
        let none = TreeVersion::default();
        Self::new(move |_| TreeReply::UpToDate(none), move || none, |_| {})
    }
}

impl fmt::Debug for TreeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TreeSource")
            .field("version", &self.version())
            .finish_non_exhaustive()
    }
}

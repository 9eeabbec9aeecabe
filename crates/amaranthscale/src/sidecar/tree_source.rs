//! The settings tree, as far as a sidecar hands it on.

use std::fmt;
use std::sync::Arc;

use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::wire::{TreeReply, TreeRequest};

type Since = dyn Fn(&TreeRequest) -> TreeReply + Send + Sync;
type Version = dyn Fn() -> TreeVersion + Send + Sync;
type Heard = dyn Fn(TreeVersion) + Send + Sync;

/// Answers for whatever keeps the settings tree in this process.
#[derive(Clone)]
pub struct TreeSource {
    since: Arc<Since>,
    version: Arc<Version>,
    heard: Arc<Heard>,
}

impl TreeSource {
    /// A source made of three functions, each of which must return at once.
    ///
    /// `since` answers a peer that is behind, `version` tells the version at hand, and `heard` is
    /// told each version that a peer shows.
    pub fn new(
        since: impl Fn(&TreeRequest) -> TreeReply + Send + Sync + 'static,
        version: impl Fn() -> TreeVersion + Send + Sync + 'static,
        heard: impl Fn(TreeVersion) + Send + Sync + 'static,
    ) -> Self {
        Self {
            since: Arc::new(since),
            version: Arc::new(version),
            heard: Arc::new(heard),
        }
    }

    /// Answers a peer that asks for what it has not.
    #[must_use]
    pub fn since(&self, ask: &TreeRequest) -> TreeReply {
        (self.since)(ask)
    }

    /// The version at hand.
    #[must_use]
    pub fn version(&self) -> TreeVersion {
        (self.version)()
    }

    /// Takes note of a version that a peer shows.
    pub fn heard(&self, version: TreeVersion) {
        (self.heard)(version);
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

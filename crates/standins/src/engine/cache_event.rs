//! Events that an engine publishes about its prefix cache.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was cached.
    Stored,
    /// It was evicted in favour of others.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1; a missing number is a gap.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Key of the prefix.
    pub prefix: String,
}

//! What an engine publishes of its prefix cache.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was cached.
    Stored,
    /// It gave way to others.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1; a number left out is a gap.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Key of the prefix.
    pub prefix: String,
}

//! Origins of streams as read from the store.

use std::collections::HashMap;

use super::origin_row::OriginRow;
use super::stream_fingerprint::StreamFingerprint;
use super::stream_origins::{StreamKey, StreamOrigin};

/// Origins of streams that gateways saved. Rows that contradict each other yield nothing.
#[derive(Debug, Default)]
pub struct SavedOrigins {
    origins: Vec<StreamOrigin>,
    /// Index of the origin of a stream; none after a contradiction.
    indices: HashMap<StreamFingerprint, Option<usize>>,
}

impl SavedOrigins {
    /// Adds the streams of a row.
    pub fn add(&mut self, row: OriginRow) {
        for group in row.groups {
            let known = self.origins.iter().position(|known| *known == group.origin);
            let index = known.unwrap_or_else(|| {
                self.origins.push(group.origin);
                self.origins.len() - 1
            });
            for stream in group.streams {
                let entry = self.indices.entry(stream).or_insert(Some(index));
                if *entry != Some(index) {
                    *entry = None;
                }
            }
        }
    }

    /// The origin of a stream, if it was saved.
    #[must_use]
    pub fn find(&self, key: &StreamKey) -> Option<&StreamOrigin> {
        let index = self.indices.get(&StreamFingerprint::of(key))?;
        index.map(|index| &self.origins[index])
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }
}

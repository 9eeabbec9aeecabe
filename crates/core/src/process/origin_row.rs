//! Origins of streams as they are saved together in the store.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::stream_fingerprint::StreamFingerprint;
use super::stream_origins::StreamOrigin;
use crate::id::InstanceId;

/// Names a row of saved origins: the gateway that saved it, and its number there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OriginRowId {
    /// Incarnation of the gateway.
    pub instance: InstanceId,
    /// Number of the row.
    pub number: u64,
}

impl fmt::Display for OriginRowId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.instance, self.number)
    }
}

/// Streams that began at the same version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamGroup {
    /// Where they began.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamFingerprint>,
}

impl StreamGroup {
    /// Groups streams by where they began.
    pub fn collect<'a>(
        streams: impl IntoIterator<Item = (StreamFingerprint, &'a StreamOrigin)>,
    ) -> Vec<Self> {
        let mut groups: Vec<Self> = Vec::new();
        for (stream, origin) in streams {
            match groups.iter_mut().find(|group| group.origin == *origin) {
                Some(group) => group.streams.push(stream),
                None => groups.push(Self {
                    origin: origin.clone(),
                    streams: vec![stream],
                }),
            }
        }
        groups
    }
}

/// Content of a row of saved origins.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow {
    /// Time of the store's clock until which the streams may be taken up.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "until_ms")]
    pub until: Duration,
    /// The streams.
    pub groups: Vec<StreamGroup>,
}

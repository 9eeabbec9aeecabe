//! Short names of streams.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::rendezvous;
use super::stream_origins::StreamKey;

/// A short name of a stream, the same at all gateways.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{StreamFingerprint, StreamKey};
///
/// let key = StreamKey { organisation: None, call: "c1".parse().unwrap() };
/// let fingerprint = StreamFingerprint::of(&key);
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamFingerprint(u64);

impl StreamFingerprint {
    /// The fingerprint of a stream.
    #[must_use]
    pub fn of(key: &StreamKey) -> Self {
        let seed = key.organisation.as_ref().map_or(0, |organisation| {
            rendezvous::score(1, organisation.as_str())
        });
        Self(rendezvous::score(seed, &key.call))
    }
}

impl fmt::Display for StreamFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for StreamFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

//! The identifier of one request.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

quick_error! {
    /// Error for text that is not a request id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidRequestId {
        /// The text is not a UUID.
        NotAUuid(text: String) {
            display("request id {text:?} is not a UUID")
        }
    }
}

/// One request of a caller, unique across entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Builds an id from random bits drawn by the caller.
    #[must_use]
    pub fn from_random_bits(bits: u128) -> Self {
        Self(uuid::Builder::from_random_bytes(bits.to_be_bytes()).into_uuid())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, InvalidRequestId> {
        let parsed = Uuid::parse_str(text).ok();
        parsed
            .map(Self)
            .ok_or_else(|| InvalidRequestId::NotAUuid(text.to_owned()))
    }
}

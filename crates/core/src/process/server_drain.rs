//! The drain of one server by an operator.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id::ServerId;

/// Maximum length of an operator's name, as it stands in log lines and listings.
const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// A drain that is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidServerDrain {
        /// The operator's name is too long or has control characters.
        Name {
            display("the operator's name is not usable: give 1 to {MAX_NAME_BYTES} bytes without control characters")
        }
    }
}

/// Who drained a server, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawServerDrain")]
pub struct ServerDrain {
    by: String,
    at_ms: u64,
}

/// A drain as it is stored, not checked yet.
#[derive(Debug, Deserialize)]
struct RawServerDrain {
    by: String,
    at_ms: u64,
}

impl ServerDrain {
    /// A drain by an operator at a time in milliseconds since 1970.
    pub fn new(by: impl Into<String>, at_ms: u64) -> Result<Self, InvalidServerDrain> {
        let by = by.into();
        let is_usable = (1..=MAX_NAME_BYTES).contains(&by.len()) && !by.contains(char::is_control);
        is_usable
            .then_some(Self { by, at_ms })
            .ok_or(InvalidServerDrain::Name)
    }

    /// The operator's name.
    #[must_use]
    pub fn by(&self) -> &str {
        &self.by
    }

    /// When, in milliseconds since 1970 by the clock of the gateway that wrote it.
    #[must_use]
    pub const fn at_ms(&self) -> u64 {
        self.at_ms
    }
}

impl TryFrom<RawServerDrain> for ServerDrain {
    type Error = InvalidServerDrain;

    fn try_from(raw: RawServerDrain) -> Result<Self, InvalidServerDrain> {
        Self::new(raw.by, raw.at_ms)
    }
}

/// A change of a server's drain, as read from its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainChange {
    /// The server.
    pub server: ServerId,
    /// The drain, none if the row was removed, or why the row cannot be read.
    pub state: Result<Option<ServerDrain>, String>,
}

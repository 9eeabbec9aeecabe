//! Handle of a result stored at a stage's server.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Longest accepted handle; several times the length of an address and a number.
const MAX_HANDLE_BYTES: usize = 200;

quick_error! {
    /// Error for text that is not a result handle.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidResultHandle {
        /// The text is empty, too long, or contains a character that would break a list of handles.
        Malformed(text: String) {
            display("result handle {text:?} is not 1 to {MAX_HANDLE_BYTES} visible characters without a comma")
        }
    }
}

/// Handle of a piece's result, as named by the server that stores it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ResultHandle(String);

impl ResultHandle {
    /// The handle as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ResultHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ResultHandle {
    type Err = InvalidResultHandle;

    fn from_str(text: &str) -> Result<Self, InvalidResultHandle> {
        Self::try_from(text.to_owned())
    }
}

impl TryFrom<String> for ResultHandle {
    type Error = InvalidResultHandle;

    fn try_from(text: String) -> Result<Self, InvalidResultHandle> {
        let is_visible = text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b',');
        if text.is_empty() || text.len() > MAX_HANDLE_BYTES || !is_visible {
            return Err(InvalidResultHandle::Malformed(text));
        }
        Ok(Self(text))
    }
}

impl From<ResultHandle> for String {
    fn from(handle: ResultHandle) -> Self {
        handle.0
    }
}

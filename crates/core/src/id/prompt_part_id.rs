//! Identification of the parts of prompts.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Longest id that is kept as it is.
const MAX_ID_BYTES: usize = 64;
/// Bytes of the hash that stands for a longer id.
const DIGEST_BYTES: usize = 16;

quick_error! {
    /// Error for text that is not the id of a prompt part.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidPromptPartId {
        /// The text is empty, too long, or holds a character that is not accepted.
        Malformed(text: String) {
            display("prompt part {text:?} is not 1 to {MAX_ID_BYTES} letters, digits, '-', '_' or '.'")
        }
    }
}

/// A part of prompts, which requests of several callers may share.
///
/// ```
/// use amaranthscale_core::id::PromptPartId;
///
/// assert_eq!(PromptPartId::of("5c1e07a2").as_str(), "5c1e07a2");
/// assert_eq!(PromptPartId::of(&"a".repeat(1_000)).as_str().len(), 32);
/// ```
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct PromptPartId(String);

impl PromptPartId {
    /// The part that a caller names; a hash stands for a name that is no valid id.
    #[must_use]
    pub fn of(name: &str) -> Self {
        name.parse().unwrap_or_else(|_error| {
            let hash = Sha256::digest(name.as_bytes());
            let prefix = hash.iter().take(DIGEST_BYTES);
            let value = prefix.fold(0, |value, byte| value << 8 | u128::from(*byte));
            Self(format!("{value:0width$x}", width = 2 * DIGEST_BYTES))
        })
    }

    /// The id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = InvalidPromptPartId;

    fn from_str(text: &str) -> Result<Self, InvalidPromptPartId> {
        let is_accepted = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > MAX_ID_BYTES || !text.chars().all(is_accepted) {
            return Err(InvalidPromptPartId::Malformed(text.to_owned()));
        }
        Ok(Self(text.to_owned()))
    }
}

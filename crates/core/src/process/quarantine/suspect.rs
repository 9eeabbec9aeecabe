//! What may have crashed a server.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::id::{InvalidPromptPartId, InvalidRequestFingerprint, PromptPartId, RequestFingerprint};

/// Begins the name of a prompt part; a fingerprint is hexadecimal and never begins so.
const PART_PREFIX: &str = "part:";

/// A whole request or a part of its prompt that is suspected of crashing servers.
///
/// ```
/// use amaranthscale_core::process::Suspect;
///
/// let part: Suspect = "part:5c1e07a2".parse()?;
/// assert!(part.is_prompt_part());
/// assert_eq!(part.to_string(), "part:5c1e07a2");
/// # Ok::<(), String>(())
/// ```
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum Suspect {
    /// A part of prompts, whatever else a request holds.
    PromptPart(PromptPartId),
    /// A request with the same content.
    Request(RequestFingerprint),
}

impl Suspect {
    /// Whether it is a part of prompts.
    #[must_use]
    pub const fn is_prompt_part(&self) -> bool {
        matches!(self, Self::PromptPart(_))
    }
}

impl From<RequestFingerprint> for Suspect {
    fn from(request: RequestFingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PromptPartId> for Suspect {
    fn from(part: PromptPartId) -> Self {
        Self::PromptPart(part)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => fmt::Display::fmt(request, f),
            Self::PromptPart(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}

impl FromStr for Suspect {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => part
                .parse()
                .map(Self::PromptPart)
                .map_err(|error: InvalidPromptPartId| format!("{error}")),
            None => text
                .parse()
                .map(Self::Request)
                .map_err(|error: InvalidRequestFingerprint| format!("{error}")),
        }
    }
}

//! Prompt in a call's body.

use serde::Deserialize;
use serde_json::Value;

/// Default number of tokens to generate.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Prompt in a call's body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Number of tokens of the whole answer.
    pub(crate) max_tokens: u32,
    /// Key of the prompt's prefix, under which the engine caches it.
    pub(crate) prefix: Option<String>,
    /// Marker that the first token repeats, so that a caller can recognise its own answer.
    pub(crate) marker: Option<String>,
    /// Length of the body.
    pub(crate) length_bytes: usize,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Fields {
    max_tokens: Option<u32>,
    prefix: Option<String>,
    marker: Option<String>,
    request: Value,
}

impl Prompt {
    /// Parses a body; one that is not JSON counts as a prompt without fields.
    pub(crate) fn parse(body: &[u8]) -> Self {
        let outer: Fields = serde_json::from_slice(body).unwrap_or_default();
        let inner: Fields = serde_json::from_value(outer.request).unwrap_or_default();
        let max_tokens = outer.max_tokens.or(inner.max_tokens);
        Self {
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            prefix: outer.prefix.or(inner.prefix),
            marker: outer.marker.or(inner.marker),
            length_bytes: body.len(),
        }
    }
}

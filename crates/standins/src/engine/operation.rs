//! Operations of an engine.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// A text that is not the name of an operation.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnknownOperation {
        /// The text names no operation.
        Unknown(text: String) {
            display("operation {text:?} is unknown")
        }
    }
}

/// Operation of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Turns a text into a vector.
    Encoding,
    /// Finds documents.
    Retrieval,
    /// Ranks documents.
    Reranking,
    /// Generates text, token by token.
    Generation,
    /// Generates a summary.
    Summarise,
    /// Generates a letter.
    Draft,
    /// Assigns flags.
    Tag,
}

impl Operation {
    /// Every operation.
    pub const ALL: &'static [Self] = &[
        Self::Encoding,
        Self::Retrieval,
        Self::Reranking,
        Self::Generation,
        Self::Summarise,
        Self::Draft,
        Self::Tag,
    ];

    /// Whether its answer is streamed token by token.
    #[must_use]
    pub const fn generates(self) -> bool {
        matches!(self, Self::Generation | Self::Summarise | Self::Draft)
    }

    /// Name in paths and answers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Encoding => "encoding",
            Self::Retrieval => "retrieval",
            Self::Reranking => "reranking",
            Self::Generation => "generation",
            Self::Summarise => "summarise",
            Self::Draft => "draft",
            Self::Tag => "tag",
        }
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Operation {
    type Err = UnknownOperation;

    fn from_str(text: &str) -> Result<Self, UnknownOperation> {
        let named = Self::ALL.iter().find(|operation| operation.name() == text);
        let unknown = || UnknownOperation::Unknown(text.to_owned());
        named.copied().ok_or_else(unknown)
    }
}

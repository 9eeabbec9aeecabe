//! The answer to a call that an entry refuses.

use std::fmt;

use amaranthscale_core::ResultCode;
use serde::{Deserialize, Serialize};

/// Says why an operator's call is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Numbered result.
    pub code: ResultCode,
    /// What is wrong, with which value, and what to try.
    pub text: String,
}

impl Refusal {
    /// A refusal with its own text.
    #[must_use]
    pub fn new(code: ResultCode, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { code, text }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.number(), self.text)
    }
}

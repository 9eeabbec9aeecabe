//! The answer to a refused call.

use std::fmt;

use amaranthscale_core::ResultCode;
use serde::{Deserialize, Serialize};

/// The answer to a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// What is wrong, with which value, and what to try.
    pub text: String,
}

impl Refusal {
    /// Creates a refusal with its own text.
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

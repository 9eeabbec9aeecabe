//! What every row of ours holds around its body.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id::WriteId;

quick_error! {
    /// A row's value that none of our writers wrote.
    #[derive(Debug)]
    pub enum EnvelopeError {
        /// Not the JSON that our writers write.
        Malformed(cause: serde_json::Error) {
            display("the row's value is no envelope: {cause}; check who else writes the table")
            source(cause)
            from()
        }
    }
}

/// A row's body together with the marks of its writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Mark of the write that the row shows.
    pub write_id: WriteId,
    /// Mark of the write before it, if its writer had read that row.
    pub previous_write_id: Option<WriteId>,
    /// What the row is about.
    pub body: String,
}

impl Envelope {
    /// Wraps a body for a write.
    #[must_use]
    pub fn new(write_id: WriteId, body: impl Into<String>) -> Self {
        Self {
            write_id,
            previous_write_id: None,
            body: body.into(),
        }
    }

    /// Reads a row's value.
    pub fn parse(value: impl AsRef<str>) -> Result<Self, EnvelopeError> {
        Ok(serde_json::from_str(value.as_ref())?)
    }

    /// The row's value for this envelope.
    ///
    /// # Panics
    ///
    /// Never for an envelope, which holds only text.
    #[must_use]
    pub fn to_value(&self) -> String {
        // Reached only if an envelope came to hold something that JSON cannot carry: a bug.
        serde_json::to_string(self).expect("an envelope holds only text")
    }
}

//! The envelope around the body of each of our rows.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::id::WriteId;

quick_error! {
    /// Error for a row's value that is not an envelope.
    #[derive(Debug)]
    pub enum EnvelopeError {
        /// The value is not the JSON of an envelope.
        Malformed(cause: serde_json::Error) {
            display("the row's value is no envelope: {cause}; check who else writes the table")
            source(cause)
            from()
        }
    }
}

/// A row's body with the ids of the write and of the one before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the write that wrote this row.
    pub write_id: WriteId,
    /// Id of the write that it replaced, if the writer had read that row.
    pub previous_write_id: Option<WriteId>,
    /// Content of the row.
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

    /// Parses a row's value.
    pub fn parse(value: impl AsRef<str>) -> Result<Self, EnvelopeError> {
        Ok(serde_json::from_str(value.as_ref())?)
    }

    /// Serialises the envelope as a row's value.
    ///
    /// # Panics
    ///
    /// Never for an envelope, which holds only text.
    #[must_use]
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("an envelope holds only text")
    }
}

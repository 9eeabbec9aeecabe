//! Whether a gateway is to be told of rows that have begun to arrive.

use serde::{Deserialize, Serialize};

/// Whether the answer to a request for rows may be that newer ones have begun to arrive; earlier
/// releases cannot read such an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum ArrivalNotice {
    /// Only rows are an answer.
    #[default]
    Unwanted,
    /// A notice is an answer.
    Wanted,
}

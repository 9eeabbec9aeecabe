//! A setting's value with the organisation that sets it.

use serde::{Deserialize, Serialize};

use crate::id::OrganisationId;

/// A value and the organisation that sets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sourced<T> {
    /// Value in force.
    pub value: T,
    /// Organisation that sets it: the one that was looked up, or an ancestor.
    pub from: OrganisationId,
}

//! A value together with the organisation that sets it.

use serde::{Deserialize, Serialize};

use crate::id::OrganisationId;

/// A value and where in the tree it comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sourced<T> {
    /// Value in force.
    pub value: T,
    /// Organisation that sets it: the one asked about, or an ancestor.
    pub from: OrganisationId,
}

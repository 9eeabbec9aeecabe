//! Whose cost, at which stage.

use std::fmt;

use crate::id::OrganisationId;

/// Names one running total.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CostKey {
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Stage that did it.
    pub stage: String,
}

impl fmt::Display for CostKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.stage)
    }
}

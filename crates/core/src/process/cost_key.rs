//! Key of a cost total.

use std::fmt;

use crate::id::OrganisationId;

/// Identifies one running total.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CostKey {
    /// Organisation for which the work was done.
    pub organisation: OrganisationId,
    /// Stage that did the work.
    pub stage: String,
}

impl fmt::Display for CostKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.stage)
    }
}

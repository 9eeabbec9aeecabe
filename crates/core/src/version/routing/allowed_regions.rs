//! The regions whose servers a route may use.

use std::collections::BTreeSet;

use crate::id::RegionId;

/// The regions whose servers a route may use, as the operators configure them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Not restricted.
    #[default]
    All,
    /// Servers in other regions are used neither for the requests nor for their stages.
    Only(BTreeSet<RegionId>),
    /// The configured value cannot be read, for the given reason. No server is used: one in a wrong
    /// region is worse than a refusal.
    Invalid(String),
}

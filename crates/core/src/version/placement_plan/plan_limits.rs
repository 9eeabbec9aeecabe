//! Limits on a plan.

/// Concurrent loads from one weight store. Two large models share its rate; with more, each would
/// take so long that none of them serves for minutes.
const LOADS_PER_STORE: u32 = 2;

/// Limits on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanLimits {
    /// Maximum loads in flight from the weight store of a region.
    pub loads_per_store: u32,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            loads_per_store: LOADS_PER_STORE,
        }
    }
}

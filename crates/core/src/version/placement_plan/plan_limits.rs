//! Bounds on a plan.

/// Loads at once from one weight store. Two large models then share its rate; with more, every one
/// of them would take so long that none serves for minutes.
const LOADS_PER_STORE: u32 = 2;

/// Bounds on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanLimits {
    /// Most loads in flight at once from the weight store of a region.
    pub loads_per_store: u32,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            loads_per_store: LOADS_PER_STORE,
        }
    }
}

//! What lives for a version of shared configuration.

mod conditional_write;

#[doc(inline)]
pub use conditional_write::{ConditionalWrite, Envelope, EnvelopeError, WriteEvent, WriteStep};

mod lease;
mod placement;

#[doc(inline)]
pub use lease::{HeldLease, LEASE_KEY, LeaseRow, PlannerLease};
#[doc(inline)]
pub use placement::{
    Assignment, EngineOrder, EngineOrders, EngineRole, PLACEMENT_KEY, Placement, PlacementOffer,
    PlacementView, placement_write,
};

//! The models that each engine should run, and the orders to the engines.
//!
//! The planner writes the wanted placement into one row, in a transaction that checks its lease.
//! Each sidecar reads that row, never goes back to an older version, and is the only one to send
//! orders to its engine, with the row's version as the fencing number. Engines that refuse old
//! numbers are safe against any delay. Engines that ignore the number are safe because their one
//! sidecar never goes back and sends one order at a time.

mod assignment;
mod engine_orders;
mod plan;
mod view;

#[doc(inline)]
pub use assignment::{Assignment, EngineRole};
#[doc(inline)]
pub use engine_orders::{EngineOrder, EngineOrders};
#[doc(inline)]
pub use plan::{
    PLACEMENT_HEAD_KEY, PLACEMENT_KEY, Placement, placement_head, placement_write,
    read_placement_head,
};
#[doc(inline)]
pub use view::{PlacementUpdate, PlacementView};

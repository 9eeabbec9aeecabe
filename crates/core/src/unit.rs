//! Types for sizes, rates and times that include the unit.

mod class;
mod sidecar_clock;
mod size;
mod time_budget;

#[doc(inline)]
pub use class::{Class, InvalidClass};
#[doc(inline)]
pub use sidecar_clock::SidecarClock;
#[doc(inline)]
pub use size::{ByteSize, InvalidSize, RatePerSecond, Weight};
#[doc(inline)]
pub use time_budget::TimeBudget;

//! Sizes, rates and points in time, each with its unit in its type.

mod budget;
mod class;
mod sidecar_clock;
mod size;

#[doc(inline)]
pub use budget::Budget;
#[doc(inline)]
pub use class::{Class, InvalidClass};
#[doc(inline)]
pub use sidecar_clock::SidecarClock;
#[doc(inline)]
pub use size::{ByteSize, InvalidSize, RatePerSecond, Weight};

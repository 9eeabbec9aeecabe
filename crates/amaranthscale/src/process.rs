//! What lives as long as its process.

pub mod settings;

mod counters;
mod platform_client;

#[doc(inline)]
pub use counters::{Counters, CountersError};
#[doc(inline)]
pub use platform_client::{PlatformClient, PlatformClientLimits, PlatformError};

//! What lives as long as its process.

pub mod settings;

mod counters;
mod platform_client;
mod table_writer;

#[doc(inline)]
pub use counters::{Counters, CountersError};
#[doc(inline)]
pub use platform_client::{PlatformClient, PlatformClientLimits, PlatformError};
#[doc(inline)]
pub use table_writer::{new_write_id, settle};

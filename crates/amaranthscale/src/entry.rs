//! The entry: owns each request from its arrival to its one final answer.
//!
//! [`request`] holds what lives for one request, [`process`] what lives as long as the entry.

pub mod process;
pub mod request;

mod connection;
mod daemon;
mod entry_config;
mod start_error;

#[doc(inline)]
pub use daemon::Entry;
#[doc(inline)]
pub use entry_config::EntryConfig;
#[doc(inline)]
pub use start_error::StartError;

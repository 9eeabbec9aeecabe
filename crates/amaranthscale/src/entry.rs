//! The entry daemon: accepts callers' requests, runs their stages and returns one final answer.
//!
//! Types in [`request`] live for one request, those in [`process`] for the whole process.

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

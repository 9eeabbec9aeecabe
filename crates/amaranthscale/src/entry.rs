//! The entry: owns each request from its arrival to its one final answer.
//!
//! [`request`] holds what lives for one request, [`process`] what lives as long as the entry.

pub mod process;
pub mod request;

mod connection;
mod daemon;

#[doc(inline)]
pub use daemon::{Entry, EntryConfig, StartError};

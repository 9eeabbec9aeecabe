//! The decisions of amaranthscale, free of input and output.
//!
//! Each part is a plain struct: an event and the present time go in, typed answers come out.
//! Nothing here opens a socket, starts a task, reads a clock or draws from a global random
//! source, so that daemons, model checks and random runs all drive the very same code.
//!
//! The modules are laid out by life span: [`request`] holds what lives for one request,
//! [`version`] what lives for a version of shared configuration, and [`process`] what lives as
//! long as its process. [`id`] and [`mod@unit`] hold the newtypes, [`wire`] the messages.

// The macro of the error types goes one level deeper for each variant of the largest one.
#![recursion_limit = "256"]

pub mod id;
pub mod process;
pub mod request;
pub mod unit;
pub mod version;
pub mod wire;

mod result_code;

#[doc(inline)]
pub use result_code::{Ran, ResultCode};

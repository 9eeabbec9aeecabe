//! The decision logic of amaranthscale, without input or output.
//!
//! Each component is a plain struct that takes an event and the current time and returns typed
//! results. Nothing here opens a socket, starts a task, reads a clock or uses a global random
//! source, so daemons, model checks and randomised tests all run the same code.
//!
//! The modules are grouped by lifetime: [`request`] holds the state of one request, [`version`]
//! the state of one version of shared configuration, and [`process`] the state of a process.
//! [`id`] and [`mod@unit`] hold the newtypes, [`wire`] the messages.

// quick_error! recurses once per variant, and the largest error exceeds the default limit.
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

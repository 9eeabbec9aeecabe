//! What happened to one request, from the log lines of all machines.
//!
//! Lines are taken as they stand in files, whatever was written before them: a time, a machine's
//! name. Lines that are damaged, cut or foreign are passed over and counted.

mod log_line;
mod story;

#[doc(inline)]
pub use log_line::LogLine;
#[doc(inline)]
pub use story::{Story, Telling};

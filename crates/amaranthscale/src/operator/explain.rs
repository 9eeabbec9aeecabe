//! Explains what happened to one request, from the log lines of all hosts.
//!
//! Lines may have any prefix, such as a time or a host name. Lines that are damaged, truncated or
//! from other programs are skipped and counted.

mod log_line;
mod request_trace;

#[doc(inline)]
pub use log_line::LogLine;
#[doc(inline)]
pub use request_trace::{Explanation, RequestTrace};

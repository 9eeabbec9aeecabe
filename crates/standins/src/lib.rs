//! Stand-ins for the platform (table, objects, host list), engines and services.
//!
//! Each stand-in is a small server that starts within the calling process, or as a program of
//! its own. Faults are injected over HTTP while it runs. None of them stores anything on disk.

pub mod backend;
pub mod command;
pub mod deployment;
pub mod engine;
pub mod http;
pub mod load;
pub mod platform;
pub mod policy;
pub mod relay;
pub mod service;

mod acceptor;
mod lagging_value;

pub(crate) use lagging_value::LaggingValue;

//! Serves multi-stage model pipelines under one shared deadline.
//!
//! The daemons and the operators' tool are thin programs around this library. [`process`] holds
//! what lives as long as its process, [`operator`] what operators and entries say to each other.

pub mod operator;
pub mod process;

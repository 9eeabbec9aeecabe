//! Serves multi-stage model pipelines under one shared deadline.
//!
//! The decisions live in `amaranthscale-core`; this crate puts connections, actors, settings, logs
//! and metrics around them, and starts the thin daemons `amaranth-entry`, `amaranth-sidecar` and
//! `amaranthctl`. Modules follow life spans: [`request`], [`connection`], [`process`]. [`sidecar`]
//! is the process beside each backend server, and [`operator`] holds what operators and entries
//! say to each other.

pub mod connection;
pub mod operator;
pub mod process;
pub mod request;
pub mod sidecar;

//! Serves multi-stage model pipelines under one shared deadline.
//!
//! The decisions live in `amaranthscale-core`; this crate puts connections, actors, settings, logs
//! and metrics around them, and starts the thin daemons `amaranth-entry`, `amaranth-sidecar` and
//! `amaranthctl`. [`connection`], [`version`] and [`process`] are shared by the daemons; [`entry`],
//! [`sidecar`] and [`operator`] are what each of them adds. [`gateway`] is the entry for platforms
//! whose backend servers are called directly, without a sidecar before them.

pub mod connection;
pub mod entry;
pub mod gateway;
pub mod operator;
pub mod process;
pub mod sidecar;
pub mod version;

//! Serves multi-stage model pipelines under one shared deadline.
//!
//! The decisions live in `amaranthscale-core`; this crate puts connections, actors, settings, logs
//! and metrics around them, and starts the thin daemons `amaranth-entry`, `amaranth-sidecar` and
//! `amaranthctl`. [`connection`], [`version`] and [`process`] are shared by the daemons; [`entry`],
//! [`sidecar`] and [`operator`] are what each of them adds.

pub mod connection;
pub mod entry;
pub mod operator;
pub mod process;
pub mod sidecar;
pub mod version;

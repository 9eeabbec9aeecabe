//! Serves multi-stage model pipelines under one shared deadline.
//!
//! `amaranthscale-core` makes the decisions; this crate adds connections, actors, settings, logs
//! and metrics, and contains the thin daemons `amaranth-entry`, `amaranth-sidecar` and
//! `amaranthctl`. [`connection`], [`version`] and [`process`] are shared by the daemons; [`entry`],
//! [`sidecar`] and [`operator`] belong to one of them each. [`gateway`] is the entry for platforms
//! whose backend servers are called directly, without a sidecar in front of them.

pub mod connection;
pub mod entry;
pub mod gateway;
pub mod operator;
pub mod process;
pub mod sidecar;
pub mod version;

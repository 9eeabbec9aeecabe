//! Sizes of a measured deployment.

use serde::Serialize;

/// Sizes of a measured deployment.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct FleetSize {
    /// Sidecar processes.
    pub(super) sidecars: u32,
    /// Entry processes.
    pub(super) entries: u32,
    /// Organisations in the settings tree, without its root.
    pub(super) organisations: u32,
    /// Interval of tree exchanges with other processes.
    pub(super) exchange_ms: u32,
    /// Measurement windows at each point.
    pub(super) windows: u32,
    /// Duration of each window.
    pub(super) window_ms: u32,
}

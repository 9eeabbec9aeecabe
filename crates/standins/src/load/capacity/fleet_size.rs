//! Sizes of a measured deployment.

use serde::Serialize;

/// Sizes of a measured deployment.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct FleetSize {
    /// Sidecar processes.
    pub(super) sidecars: u32,
    /// Entry processes.
    pub(super) entries: u32,
    /// Organisations in the settings tree, beside its root.
    pub(super) organisations: u32,
    /// Time between two comparisons of the tree with another process.
    pub(super) exchange_ms: u32,
    /// Windows of measurement at each point.
    pub(super) windows: u32,
    /// Length of each window.
    pub(super) window_ms: u32,
}

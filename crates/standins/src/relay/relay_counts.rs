//! What a relay has counted.

use serde::{Deserialize, Serialize};

/// Connections and bytes counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCounts {
    /// Connections relayed.
    pub accepted: u64,
    /// Connections closed at once, by a fault or because the far end took none.
    pub refused: u64,
    /// Connections that went silent.
    pub silenced: u64,
    /// Connections that were cut.
    pub cut: u64,
    /// Bytes passed to the far end.
    pub to_server_bytes: u64,
    /// Bytes passed back.
    pub to_client_bytes: u64,
}

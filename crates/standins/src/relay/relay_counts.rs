//! Counts of a relay.

use serde::{Deserialize, Serialize};

/// Connections and bytes counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCounts {
    /// Relayed connections.
    pub accepted: u64,
    /// Connections closed at once, by a fault or because the destination accepted none.
    pub refused: u64,
    /// Connections that were silenced.
    pub silenced: u64,
    /// Connections that were cut.
    pub cut: u64,
    /// Bytes relayed to the destination.
    pub to_server_bytes: u64,
    /// Bytes relayed back.
    pub to_client_bytes: u64,
}

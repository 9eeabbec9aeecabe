//! The answer of a gateway to `GET /servers`.

use amaranthscale_core::id::InstanceId;
use serde::{Deserialize, Serialize};

use super::{MovingRun, ServerReport};

/// How a gateway uses the servers, and the runs that it moves between them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewayServers {
    /// The gateway's incarnation.
    pub gateway: InstanceId,
    /// The servers, in order of their ids.
    pub servers: Vec<ServerReport>,
    /// Runs that are being moved, the oldest move first.
    pub moving: Vec<MovingRun>,
}

//! Messages between a gateway and the collector of engines' speeds.

use serde::{Deserialize, Serialize};

use super::{EngineEstimate, EngineSamples};
use crate::id::{InstanceId, ServerIncarnation};

/// Version of the messages' format.
pub const SPEED_FORMAT: u32 = 2;

/// Identifies the estimates that a collector has published up to some point.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedVersion {
    /// The collector's incarnation; another one counts anew.
    pub collector: InstanceId,
    /// Number of published changes.
    pub number: u64,
}

/// A gateway's samples since its last report, by engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Version of the format.
    pub format: u32,
    /// Estimates that the gateway has.
    pub known: Option<SpeedVersion>,
    /// Its samples.
    pub samples: Vec<(ServerIncarnation, EngineSamples)>,
}

/// The estimates that changed since the version that a report named.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedUpdate {
    /// Version of the format.
    pub format: u32,
    /// Version after these changes.
    pub version: SpeedVersion,
    /// Whether these are all estimates rather than changes.
    pub is_complete: bool,
    /// Estimates; none where there are no longer samples.
    pub estimates: Vec<(ServerIncarnation, Option<EngineEstimate>)>,
}

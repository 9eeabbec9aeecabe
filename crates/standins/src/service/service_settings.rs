//! Settings of the stand-in of a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use crate::backend::CrashMode;

/// Default duration of a call, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 5;

/// Settings of the stand-in of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Name shown in its answers.
    pub name: String,
    /// Duration of a call, in milliseconds.
    pub service_ms: u64,
    /// How it crashes on request.
    pub crash_mode: CrashMode,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "service".to_owned(),
            service_ms: DEFAULT_SERVICE_MS,
            crash_mode: CrashMode::default(),
        }
    }
}

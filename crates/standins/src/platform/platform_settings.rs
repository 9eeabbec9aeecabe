//! Settings of the platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

/// The platform's specified limit of reads per second: about two thousand.
const DEFAULT_READS_PER_SECOND: u32 = 2000;
/// The platform's specified limit of writes per second: several hundred.
const DEFAULT_WRITES_PER_SECOND: u32 = 500;

/// Settings of the platform stand-in.
#[derive(Debug, Clone, Copy)]
pub struct PlatformSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Reads per second, above which calls are refused.
    pub reads_per_second: u32,
    /// Writes per second, above which calls are refused.
    pub writes_per_second: u32,
    /// Lag of the host list, in milliseconds.
    pub host_list_lag_ms: u64,
    /// Time that each call takes, in milliseconds.
    pub latency_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads_per_second: DEFAULT_READS_PER_SECOND,
            writes_per_second: DEFAULT_WRITES_PER_SECOND,
            host_list_lag_ms: 0,
            latency_ms: 0,
        }
    }
}

//! Configuration of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, ZoneId};
use amaranthscale_core::version::KeyHash;

use crate::process::settings::EntrySettings;
use crate::version::{PlannerSettings, TreeSyncSettings};

/// Configuration of an entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Hash of the operators' key; without it all operator calls are refused.
    pub operator_key: Option<KeyHash>,
    /// Address that counters are sent to.
    pub statsd: Option<SocketAddr>,
    /// Maximum size of a caller's headers.
    pub max_header_bytes: usize,
    /// Maximum size of a caller's body.
    pub max_body_bytes: usize,
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// Timeout for reading a caller's headers or body.
    pub read_timeout: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Hedged attempts allowed per hundred first attempts.
    pub hedge_percent: u32,
    /// Intervals at which newer settings trees are looked for.
    pub tree: TreeSyncSettings,
    /// Intervals and lease of the placement planner.
    pub planner: PlannerSettings,
    /// Time between two reads of the host list.
    pub host_poll_interval: Duration,
    /// Time within which a dead connection with open streams is detected.
    pub dead_peer_timeout: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

impl EntryConfig {
    /// Default configuration for a host and the address of its platform.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, platform: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host,
            zone,
            listen: any,
            peer_listen: any,
            platform,
            operator_key: None,
            statsd: None,
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_requests: 20_000,
            read_timeout: Duration::from_secs(10),
            max_deadline: Duration::from_mins(1),
            retry_percent: 10,
            hedge_percent: 1,
            tree: TreeSyncSettings::default(),
            planner: PlannerSettings::default(),
            host_poll_interval: Duration::from_secs(1),
            dead_peer_timeout: Duration::from_secs(1),
            seed: rand::random(),
        }
    }
}

impl From<&EntrySettings> for EntryConfig {
    fn from(settings: &EntrySettings) -> Self {
        let host = settings.host.clone();
        Self {
            listen: settings.listen,
            peer_listen: settings.peer_listen,
            operator_key: settings.operator_key_hash,
            statsd: settings.statsd,
            max_header_bytes: settings.limits.max_header_bytes,
            max_body_bytes: settings.limits.max_body_bytes,
            max_requests: settings.limits.max_requests,
            read_timeout: Duration::from_millis(settings.limits.read_timeout_ms),
            max_deadline: Duration::from_millis(settings.limits.max_deadline_ms),
            retry_percent: settings.retry.retry_percent,
            hedge_percent: settings.retry.hedge_percent,
            tree: TreeSyncSettings::from(&settings.tree),
            dead_peer_timeout: Duration::from_millis(settings.silence_ms),
            ..Self::new(host, settings.zone.clone(), settings.platform)
        }
    }
}

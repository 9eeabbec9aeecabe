//! What an entry is started with.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, ZoneId};
use amaranthscale_core::version::KeyHash;

use crate::process::settings::EntrySettings;
use crate::version::{PlannerSettings, TreeSyncSettings};

/// What an entry is started with.
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
    /// Hash of the operators' key; without one, operators are refused.
    pub operator_key: Option<KeyHash>,
    /// Address that counters are sent to.
    pub statsd: Option<SocketAddr>,
    /// Most bytes of a caller's headers.
    pub max_header_bytes: usize,
    /// Longest body of a caller.
    pub max_body_bytes: usize,
    /// Most requests at once.
    pub max_requests: usize,
    /// Longest wait for a caller's headers or body.
    pub read_timeout: Duration,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Retries allowed for each hundred first tries.
    pub retry_percent: u32,
    /// Hedges allowed for each hundred first tries.
    pub hedge_percent: u32,
    /// How often to look for a newer tree.
    pub tree: TreeSyncSettings,
    /// How this entry competes for planning the placement.
    pub planner: PlannerSettings,
    /// How often to read the host list.
    pub host_poll_interval: Duration,
    /// Longest silence of a connection with open streams.
    pub silence: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

impl EntryConfig {
    /// Defaults for a host that knows its platform.
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
            silence: Duration::from_secs(1),
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
            silence: Duration::from_millis(settings.silence_ms),
            ..Self::new(host, settings.zone.clone(), settings.platform)
        }
    }
}

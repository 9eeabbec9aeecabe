//! Configuration of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ZoneId};
use amaranthscale_core::process::{Announcement, ColdAllowance, RetryBudgetSettings};
use amaranthscale_core::version::ZoneRegions;

use super::{Clock, Dialect, FeatureSet, StoreApi};

/// Settings and platform formats of one gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Id of this incarnation of the gateway.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for readiness checks.
    pub ready_address: SocketAddr,
    /// What it announces to the other gateways: its address, CPU share and zone.
    pub announcement: Announcement,
    /// Whether the whole deployment starts for the first time, so that no gateway is announced yet.
    pub is_first_start: bool,
    /// Listening address for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Memory that the process may use.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Maximum time for which a revoked key may still be accepted.
    pub revoke_bound: Duration,
    /// Maximum time until a change of the routing is in force.
    pub apply_bound: Duration,
    /// Regions of the availability zones, as far as the deployment states them.
    pub zone_regions: ZoneRegions,
    /// Maximum time for which a leaving server may still be given work.
    pub drain_bound: Duration,
    /// Maximum time for which an evacuated zone may still be given work.
    pub evacuation_bound: Duration,
    /// Maximum time until all gateways know of a server that crashed.
    pub crash_bound: Duration,
    /// How far cold servers may exceed their own rate.
    pub cold_allowance: ColdAllowance,
    /// Maximum duration of a stop.
    pub stop_bound: Duration,
    /// Retries that all gateways together may send to a service.
    pub retry_budget: RetryBudgetSettings,
    /// The enabled features.
    pub features: FeatureSet,
    /// The clocks.
    pub clock: Clock,
    /// Headers and formats of callers and servers.
    pub dialect: Dialect,
    /// Requests to the store and parsers of its answers.
    pub store: StoreApi,
}

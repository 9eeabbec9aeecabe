//! What a gateway is started with.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ZoneId};
use amaranthscale_core::process::{Announcement, ColdAllowance, RetryBudgetSettings};

use super::{Clock, Dialect, StoreApi};

/// Settings and formats of one gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// This life of the gateway.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready_address: SocketAddr,
    /// What it announces to the others: where they connect, and its strength.
    pub announcement: Announcement,
    /// Where metrics are read.
    pub metrics_address: Option<SocketAddr>,
    /// Longest time for which a revoked key may still be served.
    pub revoke_bound: Duration,
    /// Longest time in which a change of the routing is in force.
    pub apply_bound: Duration,
    /// Longest time for which a server that is known to leave may still be given work.
    pub drain_bound: Duration,
    /// Longest time for which an evacuated zone may still be given work.
    pub evacuation_bound: Duration,
    /// Longest time in which all gateways know of a server that crashed.
    pub crash_bound: Duration,
    /// How far cold servers may be used.
    pub cold_allowance: ColdAllowance,
    /// Longest time that a stop may take.
    pub stop_bound: Duration,
    /// Repeats that all gateways together may send to a service.
    pub retry_budget: RetryBudgetSettings,
    /// The clocks.
    pub clock: Clock,
    /// How callers and servers speak.
    pub dialect: Dialect,
    /// How the store is called.
    pub store: StoreApi,
}

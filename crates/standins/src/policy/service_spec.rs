//! A service of a deployment.

/// Servers of one service, their slots and service times.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Median time of one request.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the time.
    pub sigma: f64,
    /// Whether running work can be cancelled.
    pub is_engine: bool,
}

//! The routing that operators publish: routes, services, organisations' keys and limits.
//!
//! Each version is compiled once and shared by all requests. A request looks up its route by host
//! name and longest path prefix, and its organisation by key.

mod allowed_regions;
mod bounds;
mod host_routes;
mod key_holder;
mod pool;
mod route;
mod zone_regions;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::id::{RouteId, RoutingVersion, ServiceId};
use crate::process::{AllowedZones, ColdAllowance, ColdLimits};
use host_routes::HostRoutes;

#[doc(inline)]
pub use allowed_regions::AllowedRegions;
#[doc(inline)]
pub use bounds::CallerBounds;
#[doc(inline)]
pub use key_holder::KeyHolder;
#[doc(inline)]
pub use pool::{BatchSpec, EngineSpec, Pool, TransferSpec};
#[doc(inline)]
pub use route::{Route, RouteKind, RouteStage};
#[doc(inline)]
pub use zone_regions::ZoneRegions;

/// One version of the routing, compiled for look-ups.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::Routing;
///
/// let routing = Routing::default();
/// assert!(routing.route("intake.example", "/loads/17").is_none());
/// ```
#[derive(Clone, Default)]
pub struct Routing {
    version: RoutingVersion,
    bounds: CallerBounds,
    routes: HashMap<String, HostRoutes>,
    pools: BTreeMap<ServiceId, Pool>,
    holders: HashMap<String, Arc<KeyHolder>>,
    requires_keys: bool,
}

impl fmt::Debug for Routing {
    // The keys of the map are secrets, so only its values are shown.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Routing")
            .field("version", &self.version)
            .field("bounds", &self.bounds)
            .field("routes", &self.routes)
            .field("pools", &self.pools)
            .field("holders", &self.holders.values())
            .finish_non_exhaustive()
    }
}

impl Routing {
    /// Creates a version without routes.
    #[must_use]
    pub fn new(version: RoutingVersion, bounds: CallerBounds) -> Self {
        Self {
            version,
            bounds,
            ..Self::default()
        }
    }

    /// Adds routes; of two with the same host name and prefix the first is used.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            let host_routes = self.routes.entry(route.host.clone()).or_default();
            host_routes.add(Arc::new(route));
        }
        self
    }

    /// Restricts the routes to the zones in their allowed regions; also returns the routes that
    /// cannot be served, with the reason.
    #[must_use]
    pub fn with_zone_regions(mut self, regions: &ZoneRegions) -> (Self, Vec<(RouteId, String)>) {
        let mut unserved = Vec::new();
        for route in self.routes.values_mut().flat_map(HostRoutes::all_mut) {
            if route.allowed_regions == AllowedRegions::All {
                continue;
            }
            let allowed_zones = regions.allowed_zones(&route.allowed_regions);
            let route = Arc::make_mut(route);
            route.allowed_zones = allowed_zones.unwrap_or_else(|reason| {
                unserved.push((route.id.clone(), reason));
                AllowedZones::only([])
            });
        }
        (self, unserved)
    }

    /// Adds services.
    #[must_use]
    pub fn with_pools(mut self, pools: impl IntoIterator<Item = Pool>) -> Self {
        let named = pools.into_iter().map(|pool| (pool.service.clone(), pool));
        self.pools.extend(named);
        self
    }

    /// Requires keys on all routes that are not public, and adds their holders.
    #[must_use]
    pub fn with_holders(mut self, holders: impl IntoIterator<Item = KeyHolder>) -> Self {
        self.requires_keys = true;
        for holder in holders {
            let holder = Arc::new(holder);
            for key in &holder.keys {
                self.holders.insert(key.clone(), Arc::clone(&holder));
            }
        }
        self
    }

    /// Version of the routing.
    #[must_use]
    pub const fn version(&self) -> RoutingVersion {
        self.version
    }

    /// Limits on what callers may send.
    #[must_use]
    pub const fn bounds(&self) -> &CallerBounds {
        &self.bounds
    }

    /// Whether routes that are not public require a key.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// The route of a host name whose prefix is the longest match for a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.find(path)
    }

    /// The organisation that holds a key.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<KeyHolder>> {
        self.holders.get(key)
    }

    /// The server pool of a service.
    #[must_use]
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Limits for a service's cold servers with the operators' allowance; `None` if its servers are
    /// never cold.
    #[must_use]
    pub fn cold_limits(&self, service: &ServiceId, allowance: ColdAllowance) -> Option<ColdLimits> {
        let spec = self.pool(service)?.cold?;
        Some(spec.with_allowance(allowance))
    }

    /// The server pools of all services.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HostRoutes::all)
    }
}

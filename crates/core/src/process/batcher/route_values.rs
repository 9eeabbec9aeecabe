//! Value of an answer per work, relative to other answers of its route.
//!
//! The value of routes relative to each other is set by operators through ranks; tokens only
//! compare answers of the same route. If they were compared across routes, a route of short answers
//! would always wait.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RouteId;
use crate::process::count::as_f64;

/// Part of an answer's value that does not depend on its size. Source: the users' rule, 0.3 + 0.7 x
/// size / mean size.
const FIXED_FRACTION: f64 = 0.3;
/// Weight of each request in its route's means; about the last fifty count.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Largest number of routes; if there are more, they belong to another deployment, and all means
/// start again.
const MAX_ROUTES: usize = 4_096;

/// Means by route.
#[derive(Debug, Default)]
pub(super) struct RouteValues {
    routes: BTreeMap<RouteId, RouteMeans>,
}

#[derive(Debug, Clone, Copy)]
struct RouteMeans {
    tokens: f64,
    /// Value per second of server time.
    value_per_s: f64,
}

impl RouteValues {
    /// Value per work relative to the route's mean; 1 if it is not known.
    pub(super) fn relative(&mut self, route: &RouteId, tokens: u64, work: Duration) -> f64 {
        if tokens == 0 || work.is_zero() {
            return 1.0;
        }
        let tokens = as_f64(tokens);
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let value_per_s_at = |mean: f64| {
            let value = FIXED_FRACTION + (1.0 - FIXED_FRACTION) * tokens / mean;
            value / work.as_secs_f64()
        };
        let first = RouteMeans {
            tokens,
            value_per_s: value_per_s_at(tokens),
        };
        let means = self.routes.entry(route.clone()).or_insert(first);
        means.tokens += SAMPLE_WEIGHT * (tokens - means.tokens);
        let value_per_s = value_per_s_at(means.tokens);
        means.value_per_s += SAMPLE_WEIGHT * (value_per_s - means.value_per_s);
        value_per_s / means.value_per_s
    }
}

//! What an answer is worth for its work, against others of its route.
//!
//! What routes are worth against each other is for operators to say, by their ranks: tokens compare
//! answers of one route only. Compared across routes, a route of short answers would always wait.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RouteId;
use crate::process::count::as_f64;

/// Part of an answer's worth that does not depend on its size.
/// Source: the users' pages, "worth 0.3 + 0.7 x its size against the mean".
const FIXED_PART: f64 = 0.3;
/// Part of each request in its route's means; about the last fifty count.
const SAMPLE_SHARE: f64 = 0.02;
/// Routes that are remembered; more are another deployment's, and all start anew.
const MOST_ROUTES: usize = 4_096;

/// Means of the routes whose requests came here.
#[derive(Debug, Default)]
pub(super) struct RouteWorth {
    routes: BTreeMap<RouteId, Means>,
}

#[derive(Debug, Clone, Copy)]
struct Means {
    tokens: f64,
    /// Worth for a second of servers' time.
    yielded: f64,
}

impl RouteWorth {
    /// Worth for the work against the route's mean; 1 where it is not known.
    pub(super) fn relative(&mut self, route: &RouteId, tokens: u64, work: Duration) -> f64 {
        if tokens == 0 || work.is_zero() {
            return 1.0;
        }
        let tokens = as_f64(tokens);
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let yield_of = |mean: f64| {
            let worth = FIXED_PART + (1.0 - FIXED_PART) * tokens / mean;
            worth / work.as_secs_f64()
        };
        let first = Means {
            tokens,
            yielded: yield_of(tokens),
        };
        let means = self.routes.entry(route.clone()).or_insert(first);
        means.tokens += SAMPLE_SHARE * (tokens - means.tokens);
        let yielded = yield_of(means.tokens);
        means.yielded += SAMPLE_SHARE * (yielded - means.yielded);
        yielded / means.yielded
    }
}

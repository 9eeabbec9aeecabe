//! The routes of one host name, indexed by prefix.
//!
//! A configuration may have thousands of routes for one host name. Comparing a path with each of
//! them would make every request pay for all routes; looking up the path's own prefixes costs one
//! look-up per path segment.

use std::collections::HashMap;
use std::sync::Arc;

use super::Route;

/// Routes of one host name.
#[derive(Debug, Clone, Default)]
pub(super) struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Routes whose prefix ends within a path segment; those of the platform end with a slash.
    partial_segment: Vec<Arc<Route>>,
}

impl HostRoutes {
    /// Adds a route; of two with the same prefix the first is used.
    pub(super) fn add(&mut self, route: Arc<Route>) {
        if route.prefix.ends_with('/') {
            self.by_prefix.entry(route.prefix.clone()).or_insert(route);
        } else {
            self.partial_segment.push(route);
        }
    }

    /// The route with the longest prefix of a path.
    pub(super) fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let mut found = ends
            .rev()
            .filter_map(|end| self.by_prefix.get(&path[..end]));
        let whole_segments = found.next();
        let matches = self
            .partial_segment
            .iter()
            .filter(|route| path.starts_with(&route.prefix));
        matches.fold(whole_segments, |longest, route| match longest {
            Some(longest) if longest.prefix.len() >= route.prefix.len() => Some(longest),
            _ => Some(route),
        })
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Arc<Route>> {
        self.by_prefix.values_mut().chain(&mut self.partial_segment)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_prefix.values().chain(&self.partial_segment)
    }
}

//! The routes of one host name, found by a path's own prefixes.
//!
//! A configuration may have thousands of routes for one host. Compared one after the other, each
//! request would pay for all of them; looked up by the parts of its path, it pays for their number.

use std::collections::HashMap;
use std::sync::Arc;

use super::Route;

/// Routes of one host name.
#[derive(Debug, Clone, Default)]
pub(super) struct HostRoutes {
    by_prefix: HashMap<String, Arc<Route>>,
    /// Routes whose prefix ends within a part of a path; the platform's end with a slash.
    within_parts: Vec<Arc<Route>>,
}

impl HostRoutes {
    /// Adds a route; of two with one prefix the first holds.
    pub(super) fn add(&mut self, route: Arc<Route>) {
        if route.prefix.ends_with('/') {
            self.by_prefix.entry(route.prefix.clone()).or_insert(route);
        } else {
            self.within_parts.push(route);
        }
    }

    /// The route with the longest prefix that begins a path.
    pub(super) fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let mut found = ends
            .rev()
            .filter_map(|end| self.by_prefix.get(&path[..end]));
        let whole_parts = found.next();
        let begins = self
            .within_parts
            .iter()
            .filter(|route| path.starts_with(&route.prefix));
        begins.fold(whole_parts, |longest, route| match longest {
            Some(longest) if longest.prefix.len() >= route.prefix.len() => Some(longest),
            _ => Some(route),
        })
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_prefix.values().chain(&self.within_parts)
    }
}

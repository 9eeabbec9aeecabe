//! One service of the settings tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::ModelId;

/// A group of interchangeable backend servers, with the calls that may be repeated.
///
/// A listed path covers itself and all paths below it; the longest listed match decides.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::version::Service;
///
/// let ledger = Service::repeatable().except("/settlements");
/// assert!(ledger.allows_repeat("/balances/17"));
/// assert!(!ledger.allows_repeat("/settlements/17?dry=1"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether calls may be repeated where no listed path matches.
    pub is_repeatable: bool,
    /// Paths that may be repeated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub repeatable_paths: Vec<String>,
    /// Paths that may not be repeated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_repeatable_paths: Vec<String>,
    /// Default deadline of a direct call.
    pub default_deadline_ms: u64,
    /// Wanted replicas by model; while empty, the engines get no orders.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub models: BTreeMap<ModelId, u32>,
}

/// Deadline of a direct call if none is set.
const DEFAULT_DEADLINE_MS: u64 = 5_000;

impl Service {
    /// Creates a service whose calls may be repeated.
    #[must_use]
    pub fn repeatable() -> Self {
        Self {
            is_repeatable: true,
            repeatable_paths: Vec::new(),
            not_repeatable_paths: Vec::new(),
            default_deadline_ms: DEFAULT_DEADLINE_MS,
            models: BTreeMap::new(),
        }
    }

    /// Creates a service whose calls may not be repeated.
    #[must_use]
    pub fn not_repeatable() -> Self {
        Self {
            is_repeatable: false,
            ..Self::repeatable()
        }
    }

    /// Makes a path and all paths below it an exception to the rest of the service.
    #[must_use]
    pub fn except(mut self, path: impl Into<String>) -> Self {
        let exceptions = if self.is_repeatable {
            &mut self.not_repeatable_paths
        } else {
            &mut self.repeatable_paths
        };
        exceptions.push(path.into());
        self
    }

    /// Sets the default deadline of a direct call.
    #[must_use]
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.default_deadline_ms = deadline_ms;
        self
    }

    /// Sets the wanted number of replicas of a model.
    #[must_use]
    pub fn with_model(mut self, model: ModelId, replicas: u32) -> Self {
        self.models.insert(model, replicas);
        self
    }

    /// Whether a call of a path may be repeated.
    #[must_use]
    pub fn allows_repeat(&self, path: impl AsRef<str>) -> bool {
        let path = path.as_ref().split(['?', '#']).next().unwrap_or_default();
        if self.is_repeatable && self.not_repeatable_paths.is_empty() {
            return true;
        }
        // A settlement requested as "/x/../settlements" or "/%73ettlements" would match no listed
        // path and count as repeatable, and a retry would pay a grower twice. So a path that a
        // backend server may interpret differently is never repeatable here.
        if !is_unambiguous(path) {
            return false;
        }
        let allowed = longest_match(&self.repeatable_paths, path);
        let denied = longest_match(&self.not_repeatable_paths, path);
        match (allowed, denied) {
            (None, None) => self.is_repeatable,
            (allowed, denied) => allowed > denied,
        }
    }
}

/// Whether a path starts with a slash and has only one interpretation.
pub(super) fn is_unambiguous(path: &str) -> bool {
    let is_plain_byte = |byte: u8| byte.is_ascii_graphic() && !b"%\\?#;".contains(&byte);
    let is_plain_segment = |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    path.bytes().all(is_plain_byte) && (rest.is_empty() || rest.split('/').all(is_plain_segment))
}

/// Length of the longest listed path that covers a path.
///
/// Case is ignored, since some backend servers ignore it.
fn longest_match(listed: &[String], path: &str) -> Option<usize> {
    let path = path.to_ascii_lowercase();
    let covers = |prefix: &String| {
        let prefix = prefix.trim_end_matches('/').to_ascii_lowercase();
        let rest = path.strip_prefix(&prefix)?;
        (rest.is_empty() || rest.starts_with('/')).then_some(prefix.len())
    };
    listed.iter().filter_map(covers).max()
}

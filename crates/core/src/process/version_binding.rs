//! The software versions whose servers may run a request.

use std::collections::BTreeSet;

use crate::id::SoftwareVersion;

/// The software versions whose servers may run a request.
///
/// Versions of one service may serve side by side, and what two of them write does not fit together,
/// so a stream is bound to the version that began it. Servers that state no version form one of
/// their own.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::SoftwareVersion;
/// use amaranthscale_core::process::VersionBinding;
///
/// let first = Some(SoftwareVersion::new("v1"));
/// let binding = VersionBinding::only(first.clone());
/// assert!(binding.allows(first.as_ref()));
/// assert!(!binding.allows(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionBinding(Option<BTreeSet<Option<SoftwareVersion>>>);

impl VersionBinding {
    /// Any version.
    pub const ANY: Self = Self(None);

    /// Only one version.
    #[must_use]
    pub fn only(version: Option<SoftwareVersion>) -> Self {
        Self::one_of([version])
    }

    /// Only some versions; with none, no server may be used.
    #[must_use]
    pub fn one_of(versions: impl IntoIterator<Item = Option<SoftwareVersion>>) -> Self {
        Self(Some(versions.into_iter().collect()))
    }

    /// Whether no server may run the request.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether servers of a version may run the request.
    #[must_use]
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        let Some(versions) = &self.0 else {
            return true;
        };
        versions.iter().any(|allowed| allowed.as_ref() == version)
    }
}

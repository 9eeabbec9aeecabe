//! The software versions of services that are in use, as all gateways know them.
//!
//! While servers of a service run one version, every stream of it began there, and nothing has to be
//! remembered of it. Each version is published in the store before it is used, the first one too: a
//! gateway begins streams only at published versions, so one that starts later can tell whether
//! streams of another version may be under way, even if no gateway and no server of that time is
//! left. A version is withdrawn once no server has run it for longer than any stream lasts.
//!
//! That a service has only one version holds as of a moment. [`PublishedVersions::only_version`] is
//! what this gateway last heard, and a gateway that hears nothing cannot tell how long ago it ceased
//! to hold; [`PublishedVersions::is_current`] says whether it heard anything lately.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::version_binding::VersionBinding;
use crate::id::{ServiceId, SoftwareVersion};

/// A version of the software of a service's servers; none for servers that state no version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: Option<SoftwareVersion>,
}

/// Longest time without an answer of the store after which what it showed still counts as current:
/// some polls of the gateways' table.
const MAX_CURRENT_AGE: Duration = Duration::from_secs(4);

/// The software versions of services that are in use.
#[derive(Debug, Default)]
pub struct PublishedVersions {
    published: BTreeSet<ServiceVersion>,
    /// Versions that servers were listed with last.
    listed: BTreeSet<ServiceVersion>,
    /// When each version was listed last, or was learnt to be published.
    seen_at: BTreeMap<ServiceVersion, Duration>,
    /// The only version of a service before a second one appeared.
    sole: BTreeMap<ServiceId, Option<SoftwareVersion>>,
    /// Whether the published versions were read once.
    is_complete: bool,
    /// When the store last showed the published versions; none after it was lost.
    heard_at: Option<Duration>,
}

impl PublishedVersions {
    /// Records that a version is published, or withdrawn.
    pub fn apply(&mut self, version: ServiceVersion, is_published: bool, now: Duration) {
        if is_published {
            self.seen_at.entry(version.clone()).or_insert(now);
            self.published.insert(version);
        } else {
            self.published.remove(&version);
        }
    }

    /// Records all versions that are published.
    pub fn apply_all(&mut self, published: BTreeSet<ServiceVersion>, now: Duration) {
        for version in &published {
            self.seen_at.entry(version.clone()).or_insert(now);
        }
        self.published = published;
        self.is_complete = true;
    }

    /// Records that the store has shown all changes up to now.
    pub const fn store_answered(&mut self, now: Duration) {
        self.heard_at = Some(now);
    }

    /// Records that the store does not answer.
    pub const fn store_lost(&mut self) {
        self.heard_at = None;
    }

    /// Whether the store has shown all changes up to a short time ago.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.saturating_sub(heard_at) <= MAX_CURRENT_AGE)
    }

    /// Records the versions that servers are listed with. A version that was not listed for
    /// `retention` is forgotten.
    pub fn observe(
        &mut self,
        listed: impl IntoIterator<Item = ServiceVersion>,
        retention: Duration,
        now: Duration,
    ) {
        self.listed = listed.into_iter().collect();
        for version in &self.listed {
            self.seen_at.insert(version.clone(), now);
        }
        let published = &self.published;
        self.seen_at.retain(|version, seen_at| {
            now.saturating_sub(*seen_at) < retention || published.contains(version)
        });
        let mut counts: BTreeMap<&ServiceId, usize> = BTreeMap::new();
        for version in self.seen_at.keys() {
            *counts.entry(&version.service).or_default() += 1;
        }
        for version in self.seen_at.keys() {
            if counts[&version.service] == 1 {
                self.sole
                    .insert(version.service.clone(), version.version.clone());
            }
        }
    }

    /// The only version at which streams of a service may have begun, as of what was last heard; none
    /// if there may be another.
    #[must_use]
    pub fn only_version(&self, service: &ServiceId) -> Option<Option<SoftwareVersion>> {
        let mut known = self.known(service).into_iter();
        let only = known.next().filter(|_| self.is_complete)?;
        known.next().is_none().then_some(only)
    }

    /// Whether streams of any service may have begun at several versions.
    #[must_use]
    pub fn has_several(&self) -> bool {
        let versions = self.seen_at.keys().chain(&self.published);
        let versions: BTreeSet<_> = versions.collect();
        let services = versions.iter().map(|version| &version.service);
        versions.len() > services.collect::<BTreeSet<_>>().len()
    }

    /// Versions at which streams of a service may begin.
    #[must_use]
    pub fn beginning(&self, service: &ServiceId) -> VersionBinding {
        VersionBinding::one_of(self.published_of(service))
    }

    /// Versions at which streams of a service may begin if none can be published: the one that was
    /// the only one, where the store has shown that no version is published.
    #[must_use]
    pub fn beginning_unpublished(&self, service: &ServiceId) -> VersionBinding {
        let has_published = self.published_of(service).next().is_some();
        if has_published || !self.is_complete {
            return self.beginning(service);
        }
        VersionBinding::one_of(self.sole.get(service).cloned())
    }

    /// Whether a service has servers, but none of a published version.
    #[must_use]
    pub fn is_awaited(&self, service: &ServiceId) -> bool {
        let listed = self.listed.iter();
        let mut of_service = listed.filter(|version| version.service == *service);
        let has_servers = of_service.clone().next().is_some();
        has_servers && !of_service.any(|version| self.published.contains(version))
    }

    /// Versions that have to be published before they are used.
    #[must_use]
    pub fn unpublished(&self) -> Vec<ServiceVersion> {
        let seen = self.seen_at.keys();
        let is_unpublished = |version: &&ServiceVersion| !self.published.contains(version);
        seen.filter(is_unpublished).cloned().collect()
    }

    /// Published versions that no server was listed with for `retention`.
    #[must_use]
    pub fn removable(&self, retention: Duration, now: Duration) -> Vec<ServiceVersion> {
        let is_removable = |version: &&ServiceVersion| {
            let seen_at = self.seen_at.get(version);
            seen_at.is_none_or(|seen_at| now.saturating_sub(*seen_at) >= retention)
        };
        self.published
            .iter()
            .filter(is_removable)
            .cloned()
            .collect()
    }

    /// Versions of a service that are listed, were lately, or are published.
    #[must_use]
    pub fn known(&self, service: &ServiceId) -> BTreeSet<Option<SoftwareVersion>> {
        let seen = self.seen_at.keys();
        let seen = seen.filter(|version| version.service == *service);
        let seen = seen.map(|version| version.version.clone());
        seen.chain(self.published_of(service)).collect()
    }

    /// Published versions of a service.
    pub fn published_of(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = Option<SoftwareVersion>> {
        let published = self.published.iter();
        let of_service = published.filter(move |version| version.service == *service);
        of_service.map(|version| version.version.clone())
    }
}

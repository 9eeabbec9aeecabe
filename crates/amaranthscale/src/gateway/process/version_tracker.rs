//! Software versions in use, and their publication through the store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServiceId, SoftwareVersion};
use amaranthscale_core::process::{Cell, PublishedVersions, ServiceVersion, VersionBinding};
use amaranthscale_core::version::Routing;
use log::{info, warn};
use tokio::sync::{Notify, watch};

use super::super::version::{ClusterView, RowsReader, SharedRead, write_store};
use super::super::{Clock, StoreApi, StoreRows};
use super::GatewayContext;

/// Shortest time for which a stream may be taken up.
const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Multiple of the longest timeout of a route within which its streams are taken up: an attempt may
/// last that long, and so may the next.
const TIMEOUT_FACTOR: u32 = 2;
/// Longest wait of a request until a version is published; a write takes some milliseconds.
const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a read of the store for a stream that is taken up.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which the owner publishes a version; after it, every other gateway does.
const OWNER_LEAD: Duration = Duration::from_millis(300);
/// Time over which the other gateways spread their writes.
const SPREAD: Duration = Duration::from_millis(700);
/// Pause after a write, within which its rows arrive.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which versions that no server runs are withdrawn.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Versions at which streams of a service may have begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionsInUse {
    /// One only.
    Only(Option<SoftwareVersion>),
    /// Several.
    Several,
    /// The store does not show it.
    Unknown,
}

/// Software versions at which streams begin and may have begun.
#[derive(Debug)]
pub struct VersionTracker {
    clock: Clock,
    cluster_view: Arc<ClusterView>,
    published: Mutex<PublishedVersions>,
    changed: Notify,
    /// Counts changes of the published versions.
    applied: watch::Sender<u64>,
    /// Reads of the published versions, apart from the feed.
    read: SharedRead<BTreeSet<ServiceVersion>>,
}

impl VersionTracker {
    /// Creates a tracker that knows no version.
    #[must_use]
    pub fn new(clock: Clock, cluster_view: Arc<ClusterView>, store: StoreApi) -> Self {
        let reader = RowsReader {
            request: store.read_versions,
            add: add_published,
        };
        Self {
            clock,
            cluster_view,
            read: SharedRead::new(store, reader),
            published: Mutex::default(),
            changed: Notify::new(),
            applied: watch::Sender::new(0),
        }
    }

    /// Time for which a stream may be taken up after an event.
    #[must_use]
    pub fn retention(&self) -> Duration {
        let routing = self.cluster_view.routing();
        let longest = routing.and_then(|routing| {
            let timeouts = routing.routes().map(|route| route.timeout);
            timeouts.max()
        });
        (longest.unwrap_or_default() * TIMEOUT_FACTOR).max(MIN_RETENTION)
    }

    /// Versions at which streams of a service may begin, once there are servers of one: a gateway waits
    /// until the version of the first server is published.
    pub async fn beginning(&self, service: &ServiceId) -> VersionBinding {
        if self.published().known(service).is_empty() {
            self.observe();
        }
        let mut applied = self.applied.subscribe();
        let published = async {
            while self.published().is_awaited(service) && applied.changed().await.is_ok() {}
        };
        match tokio::time::timeout(PUBLICATION_TIMEOUT, published).await {
            Ok(()) => self.published().beginning(service),
            Err(_elapsed) => self.published().beginning_unpublished(service),
        }
    }

    /// Whether streams of a service began at one version only until now, by a read of the store.
    ///
    /// A version is published before it is used, so a read that begins once a caller takes up a stream
    /// shows every version at which the stream may have begun.
    pub async fn confirm_versions(&self, service: &ServiceId) -> VersionsInUse {
        if self.published().published_of(service).nth(1).is_some() {
            return VersionsInUse::Several;
        }
        let published = match self.read.read(STORE_TIMEOUT).await {
            Ok(published) => published,
            Err(reason) => {
                info!(service = service.as_str(), reason = reason.as_str(); "versions: not confirmed");
                return VersionsInUse::Unknown;
            }
        };
        let mut of_service = published.iter().filter(|one| one.service == *service);
        match (of_service.next(), of_service.next()) {
            (Some(only), None) => VersionsInUse::Only(only.version.clone()),
            (None, _) => VersionsInUse::Unknown,
            (Some(_), Some(_)) => VersionsInUse::Several,
        }
    }

    /// Whether several versions of a service may be in use, as of what was last heard.
    #[must_use]
    pub fn has_several(&self, service: &ServiceId) -> bool {
        self.published().only_version(service).is_none()
    }

    /// Whether several versions of any service may be in use, as of what was last heard.
    pub(super) fn has_several_anywhere(&self) -> bool {
        self.published().has_several()
    }

    /// Whether origins of a service's streams have to be kept at other gateways: several versions may
    /// be in use.
    #[must_use]
    pub fn needs_origins(&self, service: &ServiceId) -> bool {
        self.has_several(service) || !self.published().is_current(self.clock.now())
    }

    /// Records whether the store answers.
    pub(crate) fn record_store(&self, is_available: bool) {
        let mut published = self.published();
        if is_available {
            published.store_answered(self.clock.now());
        } else {
            published.store_lost();
        }
    }

    /// Versions of a service that are or were lately in use.
    #[must_use]
    pub fn known(&self, service: &ServiceId) -> BTreeSet<Option<SoftwareVersion>> {
        self.published().known(service)
    }

    /// Applies a version that a gateway published or withdrew.
    pub(crate) fn apply_published(&self, version: &ServiceVersion, is_published: bool) {
        let now = self.clock.now();
        self.published().apply(version.clone(), is_published, now);
        info!(
            service = version.service.as_str(), version = name(version), is_published;
            "versions: published"
        );
        self.notify_applied();
    }

    /// Applies a full read of the published versions.
    pub(crate) fn apply_all_published(&self, published: BTreeSet<ServiceVersion>) {
        let now = self.clock.now();
        self.published().apply_all(published, now);
        self.notify_applied();
    }

    fn notify_applied(&self) {
        self.changed.notify_one();
        self.applied.send_modify(|count| *count += 1);
    }

    /// Whether streams of some service wait for a version to be published.
    fn is_publication_awaited(&self) -> bool {
        let published = self.published();
        let unpublished = published.unpublished();
        unpublished
            .iter()
            .any(|version| published.is_awaited(&version.service))
    }

    /// Records the versions that the servers of services with resumable streams are listed with.
    fn observe(&self) {
        let Some(routing) = self.cluster_view.routing() else {
            return;
        };
        let services = resumable_services(&routing);
        let servers = self.cluster_view.servers();
        let of_streams = servers
            .all()
            .filter(|server| services.contains(&server.service));
        let listed: BTreeSet<_> = of_streams
            .map(|server| (&server.service, server.software_version.as_ref()))
            .collect();
        let listed = listed.into_iter().map(|(service, version)| ServiceVersion {
            service: service.clone(),
            version: version.cloned(),
        });
        let now = self.clock.now();
        let retention = self.retention();
        self.published().observe(listed, retention, now);
    }

    fn published(&self) -> MutexGuard<'_, PublishedVersions> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn resumable_services(routing: &Routing) -> BTreeSet<ServiceId> {
    let resumable = routing
        .routes()
        .filter(|route| route.kind.is_streaming() && route.kind.may_repeat());
    let services = resumable.flat_map(|route| &route.services);
    services.map(|(service, _share)| service.clone()).collect()
}

/// Adds the published versions among rows of the gateways' table. Rows of other writers are skipped.
fn add_published(store: &StoreApi, published: &mut BTreeSet<ServiceVersion>, rows: &StoreRows) {
    for row in &rows.rows {
        if let Ok(Some((version, true))) = (store.parse_version)(row) {
            published.insert(version);
        }
    }
}

fn name(version: &ServiceVersion) -> &str {
    version
        .version
        .as_ref()
        .map_or("-", SoftwareVersion::as_str)
}

/// Observes versions and publishes those that are to be used, as long as the gateway runs.
pub async fn publish_versions(context: Arc<GatewayContext>, store: StoreApi) {
    let versions = &context.versions;
    let mut changes = context.cluster_view.changes();
    loop {
        versions.observe();
        if versions.published().has_several() {
            context.origins.notify_versions_changed();
        }
        let is_pending = !versions.published().unpublished().is_empty();
        if is_pending {
            publish_pending(&context, &store).await;
            tokio::time::sleep(ROUND_PAUSE).await;
            continue;
        }
        tokio::select! {
            change = changes.changed() => if change.is_err() {
                return;
            },
            () = versions.changed.notified() => {}
        }
    }
}

async fn publish_pending(context: &GatewayContext, store: &StoreApi) {
    let versions = &context.versions;
    let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
    if !is_own {
        // The owner may have ended, and nobody notices while all gateways start.
        let lead = if versions.is_publication_awaited() {
            Duration::ZERO
        } else {
            OWNER_LEAD
        };
        let spread = SPREAD.mul_f64(rand::random_range(0.0..1.0));
        tokio::time::sleep(lead + spread).await;
    }
    let unpublished = versions.published().unpublished();
    if unpublished.is_empty() {
        return;
    }
    for versions in unpublished.chunks(store.max_transaction_rows) {
        let request = (store.update_versions)(versions, true);
        if let Err(reason) = write_store(store, request).await {
            warn!(versions = versions.len(), reason = reason.as_str(); "versions: not published, retrying");
            context.counters.count("versions.not-published");
        }
    }
}

/// Withdraws versions that no server has run for long, as long as the gateway runs.
pub async fn withdraw_versions(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        context.versions.observe();
        let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
        let (retention, now) = (context.versions.retention(), context.versions.clock.now());
        let removable = context.versions.published().removable(retention, now);
        if !is_own || removable.is_empty() {
            continue;
        }
        for versions in removable.chunks(store.max_transaction_rows) {
            let request = (store.update_versions)(versions, false);
            if let Err(reason) = write_store(&store, request).await {
                info!(versions = versions.len(), reason = reason.as_str(); "versions: not withdrawn");
            }
        }
    }
}

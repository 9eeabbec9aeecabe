//! Software versions in use, and their publication through the store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServiceId, SoftwareVersion};
use amaranthscale_core::process::{Cell, PublishedVersions, ServiceVersion, VersionBinding};
use amaranthscale_core::version::Routing;
use log::{info, warn};
use tokio::sync::{Notify, watch};

use super::super::version::{ClusterView, SharedRead, write_store};
use super::super::{Clock, StoreApi, StoreRows};
use super::GatewayContext;

/// Shortest time for which a stream may be taken up.
const MIN_RETENTION: Duration = Duration::from_secs(10);
/// Multiple of the longest timeout of a route within which its streams are taken up: an attempt may
/// last that long, and so may the next.
const TIMEOUT_FACTOR: u32 = 2;
/// Longest wait of a request until a version is published; a write takes some milliseconds.
const PUBLICATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a read that confirms the versions in use, including those that it waits for.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which the owner publishes a version; after it, every other gateway does.
const OWNER_LEAD: Duration = Duration::from_millis(300);
/// Time over which the other gateways spread their writes.
const SPREAD: Duration = Duration::from_millis(700);
/// Pause after a write, within which its rows arrive.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which versions that no server runs are withdrawn.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

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
        let request = store.read_versions;
        Self {
            clock,
            cluster_view,
            read: SharedRead::new(store, request, parse_published),
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

    /// The only version at which streams of a service may have begun until now, by a read of the store;
    /// none if there may be another, or if the store does not answer.
    ///
    /// A version is published before it is used, so a read that begins once a caller takes up a stream
    /// shows every version at which the stream may have begun.
    pub async fn confirm_only_version(
        &self,
        service: &ServiceId,
    ) -> Option<Option<SoftwareVersion>> {
        self.published().only_version(service)?;
        let read = tokio::time::timeout(CONFIRMATION_TIMEOUT, self.read.read()).await;
        let published = match read {
            Ok(Ok(published)) => published,
            Ok(Err(reason)) => {
                info!(service = service.as_str(), reason = reason.as_str(); "versions: not confirmed");
                return None;
            }
            Err(_elapsed) => {
                info!(service = service.as_str(), reason = "no answer in time"; "versions: not confirmed");
                return None;
            }
        };
        let only = self.published().only_version(service)?;
        let of_service = published.iter().filter(|one| one.service == *service);
        let mut of_service = of_service.map(|one| &one.version);
        (of_service.next() == Some(&only) && of_service.next().is_none()).then_some(only)
    }

    /// Whether origins of a service's streams have to be kept at other gateways: several versions may
    /// be in use.
    #[must_use]
    pub fn needs_origins(&self, service: &ServiceId) -> bool {
        let published = self.published();
        published.only_version(service).is_none() || !published.is_current(self.clock.now())
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

/// The published versions among rows of the gateways' table.
fn parse_published(store: &StoreApi, rows: &StoreRows) -> Result<BTreeSet<ServiceVersion>, String> {
    if rows.is_truncated {
        return Err("too many rows".to_owned());
    }
    let parsed = rows.rows.iter().map(|row| (store.parse_version)(row));
    let mut published = BTreeSet::new();
    for update in parsed {
        if let Some((version, true)) = update? {
            published.insert(version);
        }
    }
    Ok(published)
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

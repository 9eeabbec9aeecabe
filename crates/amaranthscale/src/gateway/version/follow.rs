//! Keeps the cluster view up to date with the store's feeds.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion, ServerId};
use amaranthscale_core::process::{
    Announcement, DrainChange, EXPIRY_GRACE, InstanceView, ServerChange, ServerList,
};
use amaranthscale_core::version::{Routing, ZoneRegions};
use log::{info, warn};
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::{CrashTracker, LimitTracker, ShutdownGate, VersionTracker};
use super::super::{
    EvidenceUpdate, LimitUpdate, StoreApi, StoreRow, StoreTable, StoredValue, VersionUpdate,
};
use super::invalid_entry_log::InvalidEntryLog;
use super::log_limiter::LogLimiter;
use super::store_call::LONG_ANSWER_BYTES;
use super::zones::{apply_zone_changes, parse_zone_changes};
use super::{Announcer, ClusterView, Feed, FeedEvent, PollTiming, RelayContext};
use crate::process::Latencies;

/// Time over which the gateways of a deployment that starts for the first time begin. None of them
/// is announced yet, and there are no callers; those that begin later find others to ask.
const FIRST_START_SPREAD: Duration = Duration::from_secs(1);

/// Follows the routing as long as the gateway runs.
pub async fn follow_routing(
    store: StoreApi,
    relay_context: RelayContext,
    latencies: Arc<Latencies>,
    zone_regions: ZoneRegions,
    timing: PollTiming,
) {
    let cluster_view = Arc::clone(&relay_context.cluster_view);
    let counters = Arc::clone(&relay_context.counters);
    let mut feed = Feed::new(StoreTable::Routing, store.clone(), timing).with_relay(relay_context);
    let mut link = StoreLink::new("routing");
    let mut invalid_entries = InvalidEntryLog::new("zones");
    loop {
        let was_available = link.is_available;
        let event = feed.next().await;
        link.record(&event);
        let is_complete = matches!(event, FeedEvent::Snapshot(_)) && !feed.is_restored();
        let rows = match event {
            FeedEvent::Snapshot(rows) | FeedEvent::Changes(rows) => rows,
            FeedEvent::Unavailable(_) => {
                if !was_available {
                    cluster_view.mark_store_unavailable();
                }
                continue;
            }
        };
        // Applied before the routing, as parsing a long one takes time.
        let zones = parse_zone_changes(&store, &rows.rows, &mut invalid_entries);
        let changed_zones = apply_zone_changes(&cluster_view, zones, is_complete);
        counters.add("zones.changed", changed_zones);
        for row in rows.rows {
            match read_routing(&store, row).await {
                Ok(Some(routing)) => {
                    let (routing, unserved) = routing.with_zone_regions(&zone_regions);
                    for (route, reason) in &unserved {
                        warn!(route = route.as_str(), reason; "routing: route not served");
                    }
                    if let Some(delay) = cluster_view.apply_routing(routing, rows.clock) {
                        latencies.record("routing.in-force", delay);
                    }
                }
                Ok(None) => {}
                // The last valid version stays in force.
                Err(reason) => warn!(reason = reason.as_str(); "routing: version refused"),
            }
        }
        cluster_view.record_routing_answer(rows.clock, feed.received_at());
    }
}

/// Parses the routing from its row, a long one on a blocking thread.
///
/// A configuration of thousands of routes takes tens of milliseconds to parse, and ten times that
/// on a host with a tenth of a core. Requests must not wait for it.
async fn read_routing(store: &StoreApi, row: StoreRow) -> Result<Option<Routing>, String> {
    let bytes = match &row.value {
        StoredValue::Content(content) => content.len(),
        StoredValue::Unreadable(_) | StoredValue::Dropped => 0,
    };
    let read = store.parse_routing;
    if bytes <= LONG_ANSWER_BYTES {
        return read(&row);
    }
    let started = Instant::now();
    let reading = tokio::task::spawn_blocking(move || read(&row)).await;
    let read_ms = ms(started.elapsed());
    info!(bytes, read_ms; "routing: long version read");
    reading.map_err(|error| error.to_string())?
}

/// Follows the servers as long as the gateway runs.
pub async fn follow_servers(store: StoreApi, relay_context: RelayContext, timing: PollTiming) {
    let cluster_view = Arc::clone(&relay_context.cluster_view);
    let mut feed = Feed::new(StoreTable::Servers, store.clone(), timing).with_relay(relay_context);
    let mut link = StoreLink::new("servers");
    let mut invalid_entries = InvalidEntryLog::new("servers");
    let mut log_limiter = LogLimiter::new();
    loop {
        let event = feed.next().await;
        link.record(&event);
        match event {
            FeedEvent::Unavailable(_) => {
                cluster_view.change_servers(|servers, _now| {
                    servers.store_lost();
                    false
                });
            }
            FeedEvent::Snapshot(rows) => {
                let entries = parse_server_changes(&store, &rows.rows, &mut invalid_entries);
                info!(servers = entries.len(); "servers: listed");
                let is_restored = feed.is_restored();
                cluster_view.change_servers(|servers, now| {
                    servers.store_answered(now);
                    if is_restored {
                        servers.restore_all(entries, now);
                    } else {
                        servers.replace_all(entries, now);
                    }
                    true
                });
            }
            FeedEvent::Changes(rows) => {
                let changes = parse_server_changes(&store, &rows.rows, &mut invalid_entries);
                let detail = if feed.reads_store() {
                    LogDetail::Each
                } else {
                    LogDetail::Sum
                };
                cluster_view.change_servers(|servers, now| {
                    apply_server_changes(servers, changes, detail, &mut log_limiter, now)
                });
            }
        }
        if let Some(until) = cluster_view.servers().expired_until() {
            tokio::spawn(drop_expired_at(Arc::clone(&cluster_view), until));
        }
    }
}

/// Drops expired servers when their grace period ends, even while the feed waits.
async fn drop_expired_at(cluster_view: Arc<ClusterView>, until: Duration) {
    tokio::time::sleep(until.saturating_sub(cluster_view.clock().now())).await;
    cluster_view.change_servers(drop_expired);
}

/// Follows the gateways as long as this one runs, and announces it again if its announcement is
/// removed.
pub async fn follow_instances(
    store: StoreApi,
    announcer: Announcer,
    own: OwnInstance,
    timing: PollTiming,
) {
    let cluster_view = Arc::clone(&announcer.relay_context.cluster_view);
    let relay_context = announcer.relay_context.clone();
    let counters = Arc::clone(&relay_context.counters);
    let mut feed =
        Feed::new(StoreTable::Instances, store.clone(), timing).with_relay(relay_context);
    let mut invalid_entries = InvalidEntryLog::new("gateways");
    let mut membership_changes = MembershipChanges::new();
    let mut withdrawing = BTreeSet::new();
    if own.is_first_start {
        let spread = FIRST_START_SPREAD.mul_f64(rand::random_range(0.0..1.0));
        tokio::time::sleep(spread).await;
    }
    loop {
        let (rows, is_snapshot) = match feed.next().await {
            FeedEvent::Unavailable(_) => {
                cluster_view.mark_list_unavailable();
                own.versions.record_store(false);
                continue;
            }
            FeedEvent::Snapshot(rows) => (rows.rows, true),
            FeedEvent::Changes(rows) => (rows.rows, false),
        };
        let is_restored = feed.is_restored();
        let parsed: Vec<_> = rows
            .iter()
            .map(|row| parse_gateway_row(&store, row))
            .collect();
        let mut changes = Vec::new();
        let mut drains = Vec::new();
        for (row, parsed) in rows.iter().zip(&parsed) {
            match parsed {
                Ok(RowKind::Evidence((id, evidence))) => {
                    own.crashes.apply_published(id.clone(), evidence.clone());
                }
                Ok(RowKind::Limit((server, limit))) => {
                    own.limits.apply_published(server, *limit);
                }
                // All of a full read are applied together, below.
                Ok(RowKind::Version((version, is_published))) => {
                    if !is_snapshot {
                        own.versions.apply_published(version, *is_published);
                    }
                }
                Ok(RowKind::Drain(change)) => {
                    match &change.state {
                        Ok(_) => invalid_entries.remove(&row.key),
                        Err(reason) => invalid_entries.record(&row.key, reason),
                    }
                    drains.push(change.clone());
                }
                Ok(RowKind::Instance) => {
                    changes.extend(parse_announcement(&store, row, &mut invalid_entries));
                }
                Err(reason) => invalid_entries.record(&row.key, reason),
            }
        }
        own.versions.record_store(true);
        counters.add(
            "drains.changed",
            apply_drains(&cluster_view, drains, is_snapshot && !is_restored),
        );
        let listed = is_snapshot.then(|| {
            retain_listed(&own, &parsed, is_restored);
            let ids = rows.iter().filter_map(|row| row.key.parse().ok());
            ids.collect::<BTreeSet<InstanceId>>()
        });
        let is_own_removed = match &listed {
            // The announcement may have been removed without an event, as when the store lost its
            // history.
            Some(ids) => own.is_announced.load(Ordering::Acquire) && !ids.contains(&own.instance),
            None => changes
                .iter()
                .any(|one| one.id == own.instance && one.is_gone()),
        };
        cluster_view.change_instances(|instances| {
            if let Some(ids) = &listed {
                instances.retain_listed(ids);
            }
            membership_changes.apply(instances, changes);
        });
        if listed.is_some() {
            cluster_view.mark_listed();
        }
        if is_own_removed && !own.shutdown.is_stopping() {
            tokio::spawn(announcer.clone().announce(own.clone()));
        }
        membership_changes.log(cluster_view.live_count());
        let expired = cluster_view.expired();
        withdrawing.retain(|id| expired.contains(id));
        let expired = expired
            .into_iter()
            .filter(|id| withdrawing.insert(id.clone()));
        let expired: Vec<_> = expired.collect();
        if !expired.is_empty() {
            tokio::spawn(announcer.clone().withdraw(expired));
        }
    }
}

/// Parsed content of a row of the gateways' table, by kind.
#[derive(Debug)]
enum RowKind {
    Evidence(EvidenceUpdate),
    Limit(LimitUpdate),
    Version(VersionUpdate),
    Drain(DrainChange),
    Instance,
}

fn parse_gateway_row(store: &StoreApi, row: &StoreRow) -> Result<RowKind, String> {
    if let Some(evidence) = (store.parse_evidence)(row)? {
        return Ok(RowKind::Evidence(evidence));
    }
    if let Some(limit) = (store.parse_limit)(row)? {
        return Ok(RowKind::Limit(limit));
    }
    if let Some(version) = (store.parse_version)(row)? {
        return Ok(RowKind::Version(version));
    }
    let drain = (store.parse_drain)(row)?;
    Ok(drain.map_or(RowKind::Instance, RowKind::Drain))
}

/// Applies the operators' changes of drains and logs them; returns how many servers are affected.
fn apply_drains(cluster_view: &ClusterView, changes: Vec<DrainChange>, is_complete: bool) -> u64 {
    if changes.is_empty() && !is_complete {
        return 0;
    }
    let mut applied = Vec::new();
    cluster_view.change_servers(|servers, _now| {
        applied = servers.apply_drains(changes, is_complete);
        !applied.is_empty()
    });
    for (server, drain) in &applied {
        match drain {
            Some(drain) => {
                let (by, at_ms) = (drain.by(), drain.at_ms());
                info!(server = server.as_str(), by, at_ms; "servers: drained");
            }
            None => info!(server = server.as_str(); "servers: drain ended"),
        }
    }
    u64::try_from(applied.len()).unwrap_or(u64::MAX)
}

/// Drops evidence, limits and versions that a full read of the table does not contain.
///
/// A store that was restored from a copy lacks evidence that is still true: it is kept, and written
/// again by the gateway that it is from. Limits and versions are published again by those that
/// observe them.
fn retain_listed(own: &OwnInstance, parsed: &[Result<RowKind, String>], is_restored: bool) {
    let (mut evidence, mut limited) = (Vec::new(), Vec::new());
    let mut versions = BTreeSet::new();
    for parsed in parsed.iter().flatten() {
        match parsed {
            RowKind::Evidence((id, _)) => evidence.push(id.clone()),
            RowKind::Limit((server, _)) => limited.push(server.clone()),
            RowKind::Version((version, true)) => {
                versions.insert(version.clone());
            }
            RowKind::Version((_, false)) | RowKind::Drain(_) | RowKind::Instance => {}
        }
    }
    if is_restored {
        own.crashes.republish_missing(&evidence);
    } else {
        own.crashes.retain_published(&evidence);
    }
    own.limits.retain_published(&limited);
    own.versions.apply_all_published(versions);
}

/// This gateway's own announcement and the state that its followers update.
#[derive(Debug, Clone)]
pub struct OwnInstance {
    /// Id of this incarnation of the gateway.
    pub instance: InstanceId,
    /// Its announcement.
    pub announcement: Announcement,
    /// Whether it is stopping and must not announce itself again.
    pub shutdown: Arc<ShutdownGate>,
    /// Evidence of crashed servers.
    pub crashes: Arc<CrashTracker>,
    /// Rate limits of servers.
    pub limits: Arc<LimitTracker>,
    /// Software versions in use.
    pub versions: Arc<VersionTracker>,
    /// Whether the store has accepted its announcement.
    pub is_announced: Arc<AtomicBool>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
}

/// A change of a gateway's announcement.
#[derive(Debug)]
struct InstanceChange {
    id: InstanceId,
    /// The announcement and its version; `None` if there is none.
    announced: Option<(Announcement, RowVersion)>,
}

impl InstanceChange {
    const fn is_gone(&self) -> bool {
        self.announced.is_none()
    }
}

/// Parses a gateway's row; `None` if its key is no gateway's id.
fn parse_announcement(
    store: &StoreApi,
    row: &StoreRow,
    invalid_entries: &mut InvalidEntryLog,
) -> Option<InstanceChange> {
    let id: InstanceId = match row.key.parse() {
        Ok(id) => id,
        Err(error) => {
            invalid_entries.record(&row.key, &error.to_string());
            return None;
        }
    };
    let announced = match row.value.read(store.parse_announcement) {
        Ok(announced) => announced,
        Err(reason) => {
            // Written by another writer, perhaps over a gateway's announcement.
            invalid_entries.record(&row.key, &reason);
            None
        }
    };
    let announced = announced.map(|announcement| (announcement, row.version));
    Some(InstanceChange { id, announced })
}

/// Numbers of gateways that were announced and removed since the last log line.
///
/// Only sums are logged: when all gateways of a large deployment are restarted in turn, a line of
/// each about each other one would be ten thousand lines. Each gateway logs its own start and stop.
#[derive(Debug)]
struct MembershipChanges {
    announced: u64,
    gone: u64,
    log_limiter: LogLimiter,
}

impl MembershipChanges {
    fn new() -> Self {
        Self {
            announced: 0,
            gone: 0,
            log_limiter: LogLimiter::new(),
        }
    }

    /// Applies changes to the view, and counts them.
    fn apply(&mut self, instances: &mut InstanceView, changes: Vec<InstanceChange>) {
        for InstanceChange { id, announced } in changes {
            if let Some((announcement, version)) = announced {
                let is_new = instances.announced(id, announcement, version);
                self.announced += u64::from(is_new);
            } else {
                instances.withdrawn(&id);
                self.gone += 1;
            }
        }
    }

    fn log(&mut self, live: usize) {
        if self.announced + self.gone == 0 || self.log_limiter.allow().is_none() {
            return;
        }
        let (announced, gone) = (self.announced, self.gone);
        info!(announced, gone, live; "membership: changed");
        self.announced = 0;
        self.gone = 0;
    }
}

/// How changes of servers are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogDetail {
    /// A line for each, by the gateway that read them from the store.
    Each,
    /// One line for all of an answer, by those that the changes were relayed to: at hundreds of
    /// gateways, a line of each about each server would be tens of thousands.
    Sum,
}

fn apply_server_changes(
    servers: &mut ServerList,
    changes: Vec<ServerChange>,
    detail: LogDetail,
    log_limiter: &mut LogLimiter,
    now: Duration,
) -> bool {
    servers.store_answered(now);
    let mut applied = 0;
    for change in changes {
        if servers.apply_change(change.clone(), now) {
            applied += 1;
            if detail == LogDetail::Each {
                log_change(&change, log_limiter);
            }
        }
    }
    if applied > 0 && detail == LogDetail::Sum {
        info!(changed = applied, servers = servers.all().count(); "servers: changes relayed");
    }
    applied > 0
}

fn log_change(change: &ServerChange, log_limiter: &mut LogLimiter) {
    let Some(left_out) = log_limiter.allow() else {
        return;
    };
    match change {
        ServerChange::Listed(record) => {
            let state = if record.is_leaving {
                "leaving"
            } else {
                "ready"
            };
            info!(
                server:% = record.incarnation, state, service = record.service.as_str(),
                address:% = record.address, cold_ms = ms(record.cold_left.unwrap_or_default()),
                left_out;
                "servers: changed"
            );
        }
        ServerChange::Removed(id) => {
            info!(server = id.as_str(), state = "gone", left_out; "servers: changed");
        }
        ServerChange::Unreadable(id) => {
            info!(server = id.as_str(), state = "unreadable", left_out; "servers: changed");
        }
    }
}

fn drop_expired(servers: &mut ServerList, now: Duration) -> bool {
    let dropped = servers.drop_expired(now);
    for id in &dropped {
        let grace_ms = ms(EXPIRY_GRACE);
        info!(server = id.as_str(), grace_ms; "servers: expired after the store's return");
    }
    !dropped.is_empty()
}

fn parse_server_changes(
    store: &StoreApi,
    rows: &[StoreRow],
    invalid_entries: &mut InvalidEntryLog,
) -> Vec<ServerChange> {
    let changes = rows
        .iter()
        .filter_map(|row| parse_server_change(store, row, invalid_entries));
    changes.collect()
}

/// Parses a server's row; `None` if its key is not a valid server id.
fn parse_server_change(
    store: &StoreApi,
    row: &StoreRow,
    invalid_entries: &mut InvalidEntryLog,
) -> Option<ServerChange> {
    let id: ServerId = match row.key.parse() {
        Ok(id) => id,
        Err(error) => {
            invalid_entries.record(&row.key, &error.to_string());
            return None;
        }
    };
    let read = row.value.read(|content| (store.parse_server)(&id, content));
    match &read {
        Ok(_) => invalid_entries.remove(&row.key),
        Err(reason) => invalid_entries.record(&row.key, reason),
    }
    Some(match read {
        Ok(Some(record)) => ServerChange::Listed(record),
        Ok(None) => ServerChange::Removed(id),
        Err(_reason) => ServerChange::Unreadable(id),
    })
}

/// Logs once when the store becomes unavailable and once when it is available again.
#[derive(Debug)]
struct StoreLink {
    name: &'static str,
    is_available: bool,
}

impl StoreLink {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            is_available: false,
        }
    }

    fn record(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Unavailable(reason) if self.is_available => {
                warn!(feed = self.name, reason = reason.as_str(); "store: unavailable");
                self.is_available = false;
            }
            FeedEvent::Snapshot(_) | FeedEvent::Changes(_) if !self.is_available => {
                info!(feed = self.name; "store: available");
                self.is_available = true;
            }
            _ => {}
        }
    }
}

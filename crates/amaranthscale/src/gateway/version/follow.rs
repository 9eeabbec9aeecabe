//! Keeps what is known up to date from the store's feeds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ServerId};
use amaranthscale_core::process::{Announcement, EXPIRY_GRACE, ServerChange, ServerList};
use amaranthscale_core::version::Routing;
use log::{info, warn};
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::{CrashTracker, LimitTracker, ShutdownGate};
use super::super::{EvidenceUpdate, LimitUpdate, StoreApi, StoreRow, StoreTable, StoredValue};
use super::announce::{announce_instance, withdraw_instance};
use super::feed::LONG_BYTES;
use super::line_budget::LineBudget;
use super::refused_entries::RefusedEntries;
use super::zones::{take_zones, zone_changes};
use super::{ClusterView, Feed, FeedEvent, FeedPace, Neighbours};
use crate::process::Latencies;

/// Follows the routing for good.
pub async fn follow_routing(
    store: StoreApi,
    neighbours: Neighbours,
    latencies: Arc<Latencies>,
    pace: FeedPace,
) {
    let cluster_view = Arc::clone(&neighbours.cluster_view);
    let counters = Arc::clone(&neighbours.counters);
    let mut feed = Feed::new(StoreTable::Routing, store.clone(), pace).beside(neighbours);
    let mut link = Link::new("routing");
    let mut refusals = RefusedEntries::new("zones");
    loop {
        let was_up = link.is_up;
        let event = feed.next().await;
        link.note(&event);
        let is_whole = matches!(event, FeedEvent::All(_));
        let rows = match event {
            FeedEvent::All(rows) | FeedEvent::Changed(rows) => rows,
            FeedEvent::Lost(_) => {
                if !was_up {
                    cluster_view.nothing_newer_is_to_be_had();
                }
                continue;
            }
        };
        // Before the routing: a long one takes its time to read.
        let zones = zone_changes(&store, &rows.rows, &mut refusals);
        let taken = take_zones(&cluster_view, zones, is_whole);
        counters.add("zones.changed", taken);
        for row in rows.rows {
            match read_routing(&store, row).await {
                Ok(Some(routing)) => {
                    if let Some(delay) = cluster_view.take_routing(routing, rows.clock) {
                        latencies.record("routing.in-force", delay);
                    }
                }
                Ok(None) => {}
                // The last good version stays in force.
                Err(reason) => warn!(reason = reason.as_str(); "routing: version refused"),
            }
        }
        cluster_view.confirm(rows.clock, feed.heard_at());
    }
}

/// Reads the routing from its row, a long one beside the requests.
///
/// Guards against requests that wait behind it: a configuration of thousands of routes takes tens
/// of milliseconds to read, and ten times that on a machine with a tenth of a core.
async fn read_routing(store: &StoreApi, row: StoreRow) -> Result<Option<Routing>, String> {
    let bytes = match &row.value {
        StoredValue::Content(content) => content.len(),
        StoredValue::Unreadable(_) | StoredValue::Dropped => 0,
    };
    let read = store.parse_routing;
    if bytes <= LONG_BYTES {
        return read(&row);
    }
    let started = Instant::now();
    let reading = tokio::task::spawn_blocking(move || read(&row)).await;
    let read_ms = ms(started.elapsed());
    info!(bytes, read_ms; "routing: long version read");
    reading.map_err(|error| error.to_string())?
}

/// Follows the servers for good.
pub async fn follow_servers(store: StoreApi, neighbours: Neighbours, pace: FeedPace) {
    let cluster_view = Arc::clone(&neighbours.cluster_view);
    let mut feed = Feed::new(StoreTable::Servers, store.clone(), pace).beside(neighbours);
    let mut link = Link::new("servers");
    let mut refusals = RefusedEntries::new("servers");
    let mut lines = LineBudget::new();
    loop {
        let event = feed.next().await;
        link.note(&event);
        match event {
            FeedEvent::Lost(_) => cluster_view.change_servers(|servers, _now| {
                servers.store_lost();
                false
            }),
            FeedEvent::All(rows) => {
                let entries = changes(&store, &rows.rows, &mut refusals);
                info!(servers = entries.len(); "servers: listed");
                cluster_view.change_servers(|servers, now| {
                    servers.store_answered(now);
                    servers.replace_all(entries, now);
                    true
                });
            }
            FeedEvent::Changed(rows) => {
                let changes = changes(&store, &rows.rows, &mut refusals);
                cluster_view
                    .change_servers(|servers, now| take_changes(servers, changes, &mut lines, now));
            }
        }
        if let Some(until) = cluster_view.servers().expired_until() {
            tokio::spawn(drop_lapsed_at(Arc::clone(&cluster_view), until));
        }
    }
}

/// Drops what lapsed at its time, whatever the feed waits for.
async fn drop_lapsed_at(cluster_view: Arc<ClusterView>, until: Duration) {
    tokio::time::sleep(until.saturating_sub(cluster_view.clock().now())).await;
    cluster_view.change_servers(drop_lapsed);
}

/// Follows the gateways for good, and announces this one again if its announcement is gone.
pub async fn follow_instances(store: StoreApi, neighbours: Neighbours, own: Own, pace: FeedPace) {
    let cluster_view = Arc::clone(&neighbours.cluster_view);
    let mut feed = Feed::new(StoreTable::Instances, store.clone(), pace).beside(neighbours);
    let mut refusals = RefusedEntries::new("gateways");
    let mut turnover = Turnover::new();
    loop {
        let (rows, is_whole) = match feed.next().await {
            FeedEvent::Lost(_) => continue,
            FeedEvent::All(rows) => (rows.rows, true),
            FeedEvent::Changed(rows) => (rows.rows, false),
        };
        let told: Vec<_> = rows.iter().map(|row| told_by(&store, row)).collect();
        if is_whole {
            keep_only(&own, &told);
            let ids = rows.iter().filter_map(|row| row.key.parse().ok());
            let ids: Vec<_> = ids.collect();
            cluster_view.change_instances(|instances| instances.retain_listed(&ids));
            // Removed while nothing was told, as while the store had lost its history.
            if own.is_announced.load(Ordering::Acquire) && !ids.contains(&own.instance) {
                announce_again(&store, &own);
            }
        }
        for (row, told) in rows.iter().zip(told) {
            match told {
                Ok(Told::Evidence((id, evidence))) => own.crashes.apply_published(id, evidence),
                Ok(Told::Limit((server, limit))) => own.limits.apply_published(&server, limit),
                Ok(Told::Instance) => {
                    take_instance(
                        &store,
                        &cluster_view,
                        &own,
                        row,
                        &mut refusals,
                        &mut turnover,
                    );
                }
                Err(reason) => refusals.note(&row.key, &reason),
            }
        }
        turnover.log(cluster_view.live());
        for forgotten in cluster_view.forgotten() {
            withdraw_instance(&store, &forgotten).await;
        }
    }
}

/// What a row of the gateways' table is about.
#[derive(Debug)]
enum Told {
    Evidence(EvidenceUpdate),
    Limit(LimitUpdate),
    Instance,
}

fn told_by(store: &StoreApi, row: &StoreRow) -> Result<Told, String> {
    if let Some(evidence) = (store.parse_evidence)(row)? {
        return Ok(Told::Evidence(evidence));
    }
    let limit = (store.parse_limit)(row)?;
    Ok(limit.map_or(Told::Instance, Told::Limit))
}

/// Drops what a whole table names no more.
fn keep_only(own: &Own, told: &[Result<Told, String>]) {
    let (mut evidence, mut limited) = (Vec::new(), Vec::new());
    for told in told.iter().flatten() {
        match told {
            Told::Evidence((id, _)) => evidence.push(id.clone()),
            Told::Limit((server, _)) => limited.push(server.clone()),
            Told::Instance => {}
        }
    }
    own.crashes.retain_published(&evidence);
    own.limits.retain_published(&limited);
}

/// The gateway itself, as it announces itself.
#[derive(Debug, Clone)]
pub struct Own {
    /// This life of the gateway.
    pub instance: InstanceId,
    /// What it announces.
    pub announcement: Announcement,
    /// Whether it stops, and so announces itself no more.
    pub shutdown: Arc<ShutdownGate>,
    /// What it knows of crashed servers.
    pub crashes: Arc<CrashTracker>,
    /// What it knows of servers' limits.
    pub limits: Arc<LimitTracker>,
    /// Whether the store has taken its announcement.
    pub is_announced: Arc<AtomicBool>,
}

fn take_instance(
    store: &StoreApi,
    cluster_view: &ClusterView,
    own: &Own,
    row: &StoreRow,
    refusals: &mut RefusedEntries,
    turnover: &mut Turnover,
) {
    let id: InstanceId = match row.key.parse() {
        Ok(id) => id,
        Err(error) => return refusals.note(&row.key, &error.to_string()),
    };
    match row.value.read(store.parse_announcement) {
        Ok(None) => {
            turnover.gone += 1;
            gone(store, cluster_view, own, &id);
        }
        Ok(Some(announcement)) => {
            let since = row.version;
            if announcement.address == own.announcement.address && id != own.instance {
                // An earlier life here ended without a word; nobody else can tell it from this one.
                let (store, ended) = (store.clone(), id.clone());
                tokio::spawn(async move { withdraw_instance(&store, &ended).await });
            }
            let is_new = cluster_view
                .change_instances(|instances| instances.announced(id, announcement, since));
            turnover.announced += u64::from(is_new);
        }
        Err(reason) => {
            // Another writer's, also where a gateway had announced itself under that name.
            refusals.note(&row.key, &reason);
            turnover.gone += 1;
            gone(store, cluster_view, own, &id);
        }
    }
}

fn gone(store: &StoreApi, cluster_view: &ClusterView, own: &Own, id: &InstanceId) {
    if *id == own.instance {
        announce_again(store, own);
    }
    cluster_view.change_instances(|instances| instances.withdrawn(id));
}

/// Gateways that came and went since it was last told.
///
/// Told in sums: when all gateways of a large deployment are restarted in turn, a line of each about
/// each of the others is ten thousand lines. What became of one of them is in its own lines.
#[derive(Debug)]
struct Turnover {
    announced: u64,
    gone: u64,
    lines: LineBudget,
}

impl Turnover {
    fn new() -> Self {
        Self {
            announced: 0,
            gone: 0,
            lines: LineBudget::new(),
        }
    }

    fn log(&mut self, live: usize) {
        if self.announced + self.gone == 0 || self.lines.take().is_none() {
            return;
        }
        let (announced, gone) = (self.announced, self.gone);
        info!(announced, gone, live; "membership: changed");
        self.announced = 0;
        self.gone = 0;
    }
}

/// Announces this gateway anew: another one took it for dead, but it lives.
fn announce_again(store: &StoreApi, own: &Own) {
    if own.shutdown.is_stopping() {
        return;
    }
    tokio::spawn(announce_instance(store.clone(), own.clone()));
}

fn take_changes(
    servers: &mut ServerList,
    changes: Vec<ServerChange>,
    lines: &mut LineBudget,
    now: Duration,
) -> bool {
    servers.store_answered(now);
    let mut is_changed = false;
    for change in changes {
        if servers.apply_change(change.clone(), now) {
            log_change(&change, lines);
            is_changed = true;
        }
    }
    is_changed
}

fn log_change(change: &ServerChange, lines: &mut LineBudget) {
    let Some(left_out) = lines.take() else {
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

fn drop_lapsed(servers: &mut ServerList, now: Duration) -> bool {
    let dropped = servers.drop_expired(now);
    for id in &dropped {
        let grace_ms = ms(EXPIRY_GRACE);
        info!(server = id.as_str(), grace_ms; "servers: gone after the store's return");
    }
    !dropped.is_empty()
}

fn changes(
    store: &StoreApi,
    rows: &[StoreRow],
    refusals: &mut RefusedEntries,
) -> Vec<ServerChange> {
    let changes = rows.iter().filter_map(|row| change(store, row, refusals));
    changes.collect()
}

/// What a row says of a server; none if its key can be no server's id.
fn change(store: &StoreApi, row: &StoreRow, refusals: &mut RefusedEntries) -> Option<ServerChange> {
    let id: ServerId = match row.key.parse() {
        Ok(id) => id,
        Err(error) => {
            refusals.note(&row.key, &error.to_string());
            return None;
        }
    };
    let read = row.value.read(|content| (store.parse_server)(&id, content));
    match &read {
        Ok(_) => refusals.forget(&row.key),
        Err(reason) => refusals.note(&row.key, reason),
    }
    Some(match read {
        Ok(Some(record)) => ServerChange::Listed(record),
        Ok(None) => ServerChange::Removed(id),
        Err(_told) => ServerChange::Unreadable(id),
    })
}

/// Says once that the store was lost, and once that it is back.
#[derive(Debug)]
struct Link {
    name: &'static str,
    is_up: bool,
}

impl Link {
    const fn new(name: &'static str) -> Self {
        Self { name, is_up: false }
    }

    fn note(&mut self, event: &FeedEvent) {
        match event {
            FeedEvent::Lost(reason) if self.is_up => {
                warn!(feed = self.name, reason = reason.as_str(); "store: lost");
                self.is_up = false;
            }
            FeedEvent::All(_) | FeedEvent::Changed(_) if !self.is_up => {
                info!(feed = self.name; "store: answers");
                self.is_up = true;
            }
            _ => {}
        }
    }
}

//! Saves the origins of streams in the store, so that streams are taken up after the loss of all
//! gateways.
//!
//! Origins are saved while a service runs several software versions. One gateway of many writes those
//! of all, a few times a second, in one row each time; they are read only for a stream that no other
//! gateway knows.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::{
    Cell, OriginRow, OriginSaver, SavedOrigins, StreamFingerprint, StreamGroup, StreamKey,
    StreamOrigin, origin_writer,
};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use tokio::sync::Notify;

use super::super::version::{RowsReader, SharedRead, write_store};
use super::super::{StoreApi, StoreRows};
use super::GatewayContext;
use super::origin_tracker::{KeptOrigin, MAX_MESSAGE_BYTES};
use super::peer_message::{read_message, status_response};
use super::version_tracker::STORE_TIMEOUT;
use crate::connection::ResponseBody;

/// Path for origins that another gateway saves.
pub const SAVE_ORIGINS_PATH: &str = "/origins/save";
/// Time for which origins are collected before they are saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(400);
/// Pause after a failed write.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which the rows of gateways that have ended are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// Origins that this gateway saves, its own and those of others.
#[derive(Debug)]
pub(super) struct OriginSaves {
    state: Mutex<SaveState>,
    requested: Notify,
    read: SharedRead<SavedOrigins>,
}

#[derive(Debug)]
struct SaveState {
    /// Origins of this gateway's streams that go to the gateway which saves them.
    pending: Vec<(StreamFingerprint, StreamOrigin)>,
    saver: OriginSaver,
}

impl OriginSaves {
    pub(super) fn new(instance: InstanceId, store: StoreApi, max_origins: usize) -> Self {
        let reader = RowsReader {
            request: store.read_origins,
            add: add_saved,
        };
        Self {
            state: Mutex::new(SaveState {
                pending: Vec::new(),
                saver: OriginSaver::new(instance, max_origins),
            }),
            requested: Notify::new(),
            read: SharedRead::new(store, reader),
        }
    }

    fn state(&self) -> MutexGuard<'_, SaveState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayContext {
    /// Requests that the origins of streams are saved whose service runs several versions.
    pub(super) fn request_save(&self, origins: &[KeptOrigin]) {
        let is_needed = |(_, origin): &&KeptOrigin| self.versions.has_several(&origin.service);
        let needed = origins.iter().filter(is_needed);
        let needed = needed.map(|(key, origin)| (StreamFingerprint::of(key), origin.clone()));
        self.origins.saves.state().pending.extend(needed);
        self.origins.saves.requested.notify_one();
    }

    /// Finds where a stream began among the origins that all gateways have saved.
    pub async fn find_saved_origin(&self, key: &StreamKey) -> Option<StreamOrigin> {
        let saved = match self.origins.saves.read.read(STORE_TIMEOUT).await {
            Ok(saved) => saved,
            Err(reason) => {
                info!(call = key.call.as_str(), reason = reason.as_str(); "origins: not read");
                return None;
            }
        };
        let found = saved.find(key).cloned();
        let name = if found.is_some() { "found" } else { "missing" };
        self.counters.count_reason("origins.saved", name);
        found
    }

    fn add_to_saver(&self, groups: Vec<StreamGroup>) {
        let until = self.cluster_view.clock().now() + self.versions.retention();
        let mut state = self.origins.saves.state();
        for group in groups {
            for stream in group.streams {
                state.saver.add(stream, group.origin.clone(), until);
            }
        }
    }

    /// Hands this gateway's origins to the one that saves them, which may be this one.
    async fn hand_over_pending(&self) {
        let pending = std::mem::take(&mut self.origins.saves.state().pending);
        if pending.is_empty() {
            return;
        }
        let pending = pending.iter().map(|(stream, origin)| (*stream, origin));
        let groups = StreamGroup::collect(pending);
        let (own_address, _) = self.cluster_view.announced_addresses();
        let writer = origin_writer(own_address, self.cluster_view.live_gateways());
        if let Some((id, address)) = writer
            && id != self.instance
            && self.post_origins(address, SAVE_ORIGINS_PATH, &groups).await
        {
            return;
        }
        self.add_to_saver(groups);
    }

    /// Writes what there is to save; returns whether the store has taken it.
    async fn write_saves(&self, store: &StoreApi) -> bool {
        loop {
            let Some(store_now) = self.cluster_view.store_clock() else {
                return false;
            };
            let now = self.cluster_view.clock().now();
            let next = self.origins.saves.state().saver.next_save(now, store_now);
            let Some(save) = next else {
                return true;
            };
            if let Err(reason) = write_store(store, (store.save_origins)(&save)).await {
                warn!(reason = reason.as_str(); "origins: not saved, retrying");
                self.counters.count("origins.not-saved");
                return false;
            }
            self.counters.count("origins.saves");
            self.origins.saves.state().saver.record_saved(&save);
        }
    }
}

/// Saves origins in the store, as long as the gateway runs.
pub async fn save_origins(context: Arc<GatewayContext>, store: StoreApi) {
    loop {
        if context.origins.saves.state().saver.is_idle() {
            context.origins.saves.requested.notified().await;
        }
        tokio::time::sleep(SAVE_INTERVAL).await;
        context.hand_over_pending().await;
        if !context.write_saves(&store).await {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Removes rows that gateways which have ended left behind, as long as the gateway runs.
pub async fn remove_expired_origins(context: Arc<GatewayContext>, store: StoreApi) {
    let reader = RowsReader {
        request: store.read_origins,
        add: add_expired,
    };
    let read = SharedRead::new(store.clone(), reader);
    let mut may_have_rows = true;
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let has_several = context.versions.has_several_anywhere();
        let (.., is_own) = context.cluster_view.owner(Cell::SINGLE);
        if !is_own || !(has_several || may_have_rows) {
            continue;
        }
        let expired: Arc<Vec<String>> = match read.read(CLEANUP_INTERVAL).await {
            Ok(expired) => expired,
            Err(reason) => {
                info!(reason = reason.as_str(); "origins: not read");
                continue;
            }
        };
        let mut is_removed = true;
        for keys in expired.chunks(store.max_transaction_rows) {
            let written = write_store(&store, (store.remove_origins)(keys)).await;
            is_removed &= written.is_ok();
        }
        may_have_rows = has_several || !is_removed;
    }
}

/// Takes origins that this gateway saves for another one.
pub(super) async fn serve_save(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match read_message(request, MAX_MESSAGE_BYTES).await {
        Ok(groups) => {
            context.add_to_saver(groups);
            context.origins.saves.requested.notify_one();
            status_response(StatusCode::OK)
        }
        Err(reason) => {
            warn!(reason = reason.as_str(); "origins: invalid message from a gateway");
            status_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Adds the streams of rows that can still be taken up.
fn add_saved(store: &StoreApi, saved: &mut SavedOrigins, rows: &StoreRows) {
    for (_, origins) in parsed_rows(store, rows) {
        if origins.until > rows.clock {
            saved.add(origins);
        }
    }
}

/// Adds the keys of rows whose streams can no longer be taken up.
fn add_expired(store: &StoreApi, expired: &mut Vec<String>, rows: &StoreRows) {
    let all = parsed_rows(store, rows);
    let of_past = all.filter(|(_, origins)| origins.until <= rows.clock);
    expired.extend(of_past.map(|(key, _)| key.to_owned()));
}

/// Rows by their keys; those of other writers are skipped.
fn parsed_rows<'a>(
    store: &StoreApi,
    rows: &'a StoreRows,
) -> impl Iterator<Item = (&'a str, OriginRow)> {
    let parse = store.parse_origins;
    rows.rows.iter().filter_map(move |row| {
        let origins = row.value.read(parse).ok()??;
        Some((row.key.as_str(), origins))
    })
}

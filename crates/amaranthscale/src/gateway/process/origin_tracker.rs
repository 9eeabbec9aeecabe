//! Keeps the origins of streams at several gateways, and finds them there.
//!
//! While all servers of a service run one version, origins stay at the gateway where the streams
//! began. Otherwise, and while the gateway cannot tell, each is also sent to other gateways, which the
//! call's id names, so that any gateway finds it after the one that began the stream has ended.
//! Beside several versions it is saved in the store too.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::{StreamKey, StreamOrigin, StreamOrigins};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::super::StoreApi;
use super::GatewayContext;
use super::origin_saving::OriginSaves;
use super::peer_message::{read_message, status_response};
use crate::connection::{ResponseBody, full_body, read_body};

/// Path for origins that other gateways keep.
pub const RECORD_ORIGINS_PATH: &str = "/origins/record";
/// Path for the question where a stream began.
pub const FIND_ORIGIN_PATH: &str = "/origins/find";
/// Other gateways that keep the origin of a stream.
const KEEPERS: usize = 2;
/// Other gateways that are asked for an origin: more than keep it, as gateways come and go.
const ASKED: usize = 4;
/// Time for which origins are collected before they are sent.
const COLLECTION_TIME: Duration = Duration::from_millis(5);
/// Timeout of a message with origins.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the search for an origin.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of origins that a gateway keeps, some hundred bytes each.
const MAX_ORIGINS: usize = 20_000;
/// Maximum number of origins in one message.
const MAX_MESSAGE_ORIGINS: usize = 500;
/// Maximum size of a message.
pub(super) const MAX_MESSAGE_BYTES: usize = 512 * 1024;

pub(super) type KeptOrigin = (StreamKey, StreamOrigin);

/// Origins of streams that this gateway began or keeps for others.
#[derive(Debug)]
pub struct OriginTracker {
    state: Mutex<OriginState>,
    record_requested: Notify,
    /// Origins that are saved in the store.
    pub(super) saves: OriginSaves,
}

#[derive(Debug)]
struct OriginState {
    origins: StreamOrigins,
    /// Streams that began here and whose origins were not sent to other gateways, each with the time
    /// after which it cannot be taken up.
    unsent: VecDeque<(Duration, KeptOrigin)>,
}

impl OriginTracker {
    /// Creates a tracker that knows no origin.
    #[must_use]
    pub fn new(instance: InstanceId, store: StoreApi) -> Self {
        Self {
            saves: OriginSaves::new(instance, store, MAX_ORIGINS),
            state: Mutex::new(OriginState {
                origins: StreamOrigins::new(MAX_ORIGINS),
                unsent: VecDeque::new(),
            }),
            record_requested: Notify::new(),
        }
    }

    /// Requests that origins are sent which it was not necessary to send before.
    pub(super) fn notify_versions_changed(&self) {
        self.record_requested.notify_one();
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayContext {
    /// Records where a stream began, once its first event is forwarded.
    pub fn record_origin(&self, key: StreamKey, origin: StreamOrigin) {
        let now = self.cluster_view.clock().now();
        let retention = self.versions.retention();
        let needs_keepers = self.versions.needs_origins(&origin.service);
        let mut state = self.origins.state();
        state
            .origins
            .record(key.clone(), origin.clone(), retention, now);
        while state.unsent.front().is_some_and(|(until, _)| *until <= now)
            || state.unsent.len() >= MAX_ORIGINS
        {
            state.unsent.pop_front();
        }
        state.unsent.push_back((now + retention, (key, origin)));
        drop(state);
        if needs_keepers {
            self.origins.record_requested.notify_one();
        }
    }

    /// Where a stream began, if this gateway has recorded it.
    pub fn own_origin(&self, key: &StreamKey) -> Option<StreamOrigin> {
        let now = self.cluster_view.clock().now();
        self.origins.state().origins.find(key, now).cloned()
    }

    /// Asks other gateways where a stream began.
    pub async fn ask_for_origin(self: &Arc<Self>, key: &StreamKey) -> Option<StreamOrigin> {
        let found = tokio::time::timeout(FIND_TIMEOUT, self.ask_others(key)).await;
        let found = found.ok().flatten();
        let name = if found.is_some() { "found" } else { "missing" };
        self.counters.count_reason("origins", name);
        found
    }

    async fn ask_others(self: &Arc<Self>, key: &StreamKey) -> Option<StreamOrigin> {
        self.cluster_view.wait_until_listed(FIND_TIMEOUT).await;
        let others = key.rank(self.cluster_view.live_others());
        // Encoding texts cannot fail.
        let encoded = rmp_serde::to_vec(key).unwrap_or_default();
        let mut answers = JoinSet::new();
        for (_, address) in others.into_iter().take(ASKED) {
            let (context, encoded) = (Arc::clone(self), encoded.clone());
            answers.spawn(async move {
                let answer = context.peers.post(address, FIND_ORIGIN_PATH, encoded).await;
                let answer = answer.ok()?;
                let body = read_body(answer.into_body(), MAX_MESSAGE_BYTES, FIND_TIMEOUT).await;
                rmp_serde::from_slice::<Option<StreamOrigin>>(&body.ok()?).ok()?
            });
        }
        while let Some(answer) = answers.join_next().await {
            if let Ok(Some(origin)) = answer {
                return Some(origin);
            }
        }
        None
    }

    /// Takes the origins that have to be sent to other gateways.
    fn take_unsent_origins(&self) -> Vec<KeptOrigin> {
        let now = self.cluster_view.clock().now();
        let mut state = self.origins.state();
        let unsent = std::mem::take(&mut state.unsent);
        let mut taken = Vec::new();
        let mut needed = BTreeMap::new();
        for (until, kept) in unsent {
            if until <= now {
                continue;
            }
            let service = &kept.1.service;
            if !needed.contains_key(service) {
                let is_needed = self.versions.needs_origins(service);
                needed.insert(service.clone(), is_needed);
            }
            if !needed[service] || taken.len() >= MAX_MESSAGE_ORIGINS {
                state.unsent.push_back((until, kept));
            } else {
                taken.push(kept);
            }
        }
        taken
    }

    /// Sends origins to the gateways that keep them; one that cannot be reached is replaced by the
    /// next.
    async fn send_origins(self: &Arc<Self>, origins: Vec<KeptOrigin>) {
        let mut by_keeper: BTreeMap<(InstanceId, SocketAddr), Vec<KeptOrigin>> = BTreeMap::new();
        let others = self.cluster_view.live_others();
        for kept in origins {
            let ranked = kept.0.rank(others.clone());
            for keeper in ranked.into_iter().take(KEEPERS) {
                by_keeper.entry(keeper).or_default().push(kept.clone());
            }
        }
        let mut sending = JoinSet::new();
        for ((id, address), origins) in by_keeper {
            let context = Arc::clone(self);
            sending.spawn(async move {
                let is_sent = context.send_origins_to(address, &origins).await;
                (!is_sent).then_some((id, origins))
            });
        }
        while let Some(ended) = sending.join_next().await {
            let Ok(Some((failed, origins))) = ended else {
                continue;
            };
            self.counters.count("origins.not-sent");
            let mut others = others.clone();
            others.retain(|(id, _)| *id != failed);
            let Some(next) = origins.first().and_then(|(key, _)| {
                let ranked = key.rank(others);
                ranked.get(KEEPERS - 1).map(|(_, address)| *address)
            }) else {
                continue;
            };
            self.send_origins_to(next, &origins).await;
        }
    }

    async fn send_origins_to(&self, address: SocketAddr, origins: &[KeptOrigin]) -> bool {
        self.post_origins(address, RECORD_ORIGINS_PATH, &origins)
            .await
    }

    /// Sends origins to another gateway; returns whether it has taken them.
    pub(super) async fn post_origins(
        &self,
        address: SocketAddr,
        path: &str,
        origins: &impl Serialize,
    ) -> bool {
        // Encoding texts cannot fail.
        let encoded = rmp_serde::to_vec(origins).unwrap_or_default();
        let bytes = u64::try_from(encoded.len()).unwrap_or(u64::MAX);
        self.counters.add("origins.sent-bytes", bytes);
        let posting = self.peers.post(address, path, encoded);
        let posted = tokio::time::timeout(RECORD_TIMEOUT, posting).await;
        matches!(posted, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
    }
}

/// Sends origins to the gateways that keep them, as long as the gateway runs.
pub async fn send_origins(context: Arc<GatewayContext>) {
    loop {
        context.origins.record_requested.notified().await;
        tokio::time::sleep(COLLECTION_TIME).await;
        loop {
            let unsent = context.take_unsent_origins();
            if unsent.is_empty() {
                break;
            }
            context.request_save(&unsent);
            let (context, sent) = (Arc::clone(&context), unsent);
            tokio::spawn(async move { context.send_origins(sent).await });
        }
    }
}

/// Keeps origins for another gateway.
pub(super) async fn serve_record(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let origins: Vec<KeptOrigin> = match read_message(request, MAX_MESSAGE_BYTES).await {
        Ok(origins) => origins,
        Err(reason) => {
            warn!(reason = reason.as_str(); "versions: invalid origins from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let now = context.cluster_view.clock().now();
    let retention = context.versions.retention();
    let mut state = context.origins.state();
    for (key, origin) in origins {
        state.origins.record(key, origin, retention, now);
    }
    status_response(StatusCode::OK)
}

/// Tells another gateway where a stream began.
pub(super) async fn serve_find(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let key: StreamKey = match read_message(request, MAX_MESSAGE_BYTES).await {
        Ok(key) => key,
        Err(reason) => {
            warn!(reason = reason.as_str(); "versions: invalid question from a gateway");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    let origin = context.own_origin(&key);
    if origin.is_some() {
        info!(call = key.call.as_str(); "versions: origin told");
    }
    // Encoding texts cannot fail.
    Response::new(full_body(rmp_serde::to_vec(&origin).unwrap_or_default()))
}

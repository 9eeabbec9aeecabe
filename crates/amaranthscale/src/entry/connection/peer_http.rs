//! HTTP interface for other processes of the system.

use std::time::Duration;

use amaranthscale_core::wire::{self, TreeReply, TreeRequest};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::connection::{ResponseBody, empty_body, full_body, read_body};
use crate::process::{ControlKind, ControlTraffic};
use crate::version::TreeSyncHandle;

/// Maximum size of a message; the largest is a whole tree, well below this.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for reading a message.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP handler for peers.
#[derive(Debug, Clone)]
pub struct PeerHttp {
    tree: TreeSyncHandle,
    traffic: ControlTraffic,
}

impl PeerHttp {
    /// Creates the handler of a process that replicates the settings tree.
    #[must_use]
    pub const fn new(tree: TreeSyncHandle, traffic: ControlTraffic) -> Self {
        Self { tree, traffic }
    }

    /// Handles one message.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            "/tree/since" => self.since(request).await,
            "/tree/offer" => self.offer(request).await,
            "/healthz" => status_response(StatusCode::OK),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn since(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let kind = ControlKind::TreeExchange;
        let Some(since) = self.message::<TreeRequest>(kind, request).await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let reply = wire::encode(&self.tree.since(since.version));
        self.traffic.count_sent(kind, reply.len());
        Response::new(full_body(reply))
    }

    async fn offer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let kind = ControlKind::Edit;
        let Some(offer) = self.message::<TreeReply>(kind, request).await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        self.tree.apply_offer(offer);
        status_response(StatusCode::OK)
    }

    /// Reads a message and counts it under a control kind.
    async fn message<T: DeserializeOwned>(
        &self,
        kind: ControlKind,
        request: Request<Incoming>,
    ) -> Option<T> {
        let body = read_body(request.into_body(), MAX_MESSAGE_BYTES, BODY_TIMEOUT)
            .await
            .ok()?;
        self.traffic.count_message(kind);
        self.traffic.count_received(kind, body.len());
        wire::decode(body).ok()
    }
}

fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

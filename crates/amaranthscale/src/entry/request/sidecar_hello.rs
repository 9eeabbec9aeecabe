//! Asks a sidecar for its incarnation and clock.

use std::net::SocketAddr;

use amaranthscale_core::wire::{self, Hello, Stamp};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::stage_task::StageTask;
use crate::connection::read_body;
use crate::entry::process::{DecisionsMessage, EntryContext, ObservedSidecar, Route};
use crate::process::ControlKind;

/// Maximum size of a sidecar's stamp.
const MAX_STAMP_BYTES: usize = 16 * 1024;

/// The incarnation and clock of a sidecar; sends a hello if this entry has not observed them yet.
pub async fn observed_sidecar(
    context: &EntryContext,
    task: &StageTask<'_>,
    route: &Route,
) -> Option<ObservedSidecar> {
    if let Some(observed) = route.observed {
        return Some(observed);
    }
    let hello = Hello {
        from: task.entry.clone(),
        tree_version: context.tree.borrow().version(),
    };
    let message = wire::encode(&hello);
    let sent_bytes = message.len();
    let sending = send_hello(context, route.address, message);
    let response = timeout_at(task.deadline, sending).await.ok()??;
    let left = task.deadline.saturating_duration_since(Instant::now());
    let body = read_body(response.into_body(), MAX_STAMP_BYTES, left)
        .await
        .ok()?;
    let peers = &context.peers;
    peers.count(ControlKind::Hello, sent_bytes, body.len());
    let stamp: Stamp = wire::decode(body).ok()?;
    let observed = ObservedSidecar {
        incarnation: stamp.incarnation,
        clock: stamp.clock,
    };
    context
        .decisions
        .send(DecisionsMessage::ObserveStamp(Box::new(stamp)));
    Some(observed)
}

/// Sends a hello on the open connection, and again on a new one if that was lost.
///
/// A hello may be repeated, and a lost idle connection does not mean that the sidecar is down.
async fn send_hello(
    context: &EntryContext,
    address: SocketAddr,
    hello: Vec<u8>,
) -> Option<Response<Incoming>> {
    let peers = &context.peers;
    let connection = peers.connection(address).await.ok()?;
    let number = connection.number();
    match connection.post("/hello", hello.clone()).await {
        Ok(response) => Some(response),
        Err(_lost) => {
            context.counters.count("hello.connection_lost");
            let connection = peers.connection_after(address, Some(number)).await.ok()?;
            connection.post("/hello", hello).await.ok()
        }
    }
}

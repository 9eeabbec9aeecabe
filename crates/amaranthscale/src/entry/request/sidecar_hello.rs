//! Asks a sidecar which life it is in.

use std::net::SocketAddr;

use amaranthscale_core::wire::{self, Hello, Stamp};
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::stage_task::StageTask;
use crate::connection::read_body;
use crate::entry::process::{Decision, EntryParts, KnownSidecar, Route};
use crate::process::ControlKind;

/// Longest stamp that a sidecar answers with.
const MAX_STAMP_BYTES: usize = 16 * 1024;

/// The sidecar's present life, asked for if this entry has not heard of it yet.
pub async fn known_sidecar(
    parts: &EntryParts,
    task: &StageTask<'_>,
    route: &Route,
) -> Option<KnownSidecar> {
    if let Some(known) = route.known {
        return Some(known);
    }
    let hello = Hello {
        from: task.entry.clone(),
        tree_version: parts.tree.borrow().version(),
    };
    let message = wire::encode(&hello);
    let sent_bytes = message.len();
    let asking = ask_hello(parts, route.address, message);
    let response = timeout_at(task.due, asking).await.ok()??;
    let left = task.due.saturating_duration_since(Instant::now());
    let body = read_body(response.into_body(), MAX_STAMP_BYTES, left)
        .await
        .ok()?;
    let peers = &parts.peers;
    peers.count(ControlKind::Hello, sent_bytes, body.len());
    let stamp: Stamp = wire::decode(body).ok()?;
    let known = KnownSidecar {
        incarnation: stamp.incarnation,
        clock: stamp.clock,
    };
    parts.decisions.tell(Decision::Observe(Box::new(stamp)));
    Some(known)
}

/// Asks on the open connection, and once more on a new one if it was lost: the question may
/// be repeated, and an idle connection that went silent says nothing about the sidecar.
async fn ask_hello(
    parts: &EntryParts,
    address: SocketAddr,
    hello: Vec<u8>,
) -> Option<Response<Incoming>> {
    let peers = &parts.peers;
    let connection = peers.connection(address).await.ok()?;
    let number = connection.number();
    match connection.post("/hello", hello.clone()).await {
        Ok(response) => Some(response),
        Err(_lost) => {
            parts.counters.count("hello.connection_lost");
            let connection = peers.connection_after(address, Some(number)).await.ok()?;
            connection.post("/hello", hello).await.ok()
        }
    }
}

//! Handle that requests use to query the decisions actor.

use std::net::SocketAddr;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::HostId;
use amaranthscale_core::process::Refusal;
use log::debug;
use ractor::rpc::CallResult;
use ractor::{ActorRef, RpcReplyPort};

use super::{AdmissionQuery, DecisionsMessage, DecisionsStatus, Reservation, Route, RouteQuery};

/// Retry delay for callers of an entry whose actor has already stopped.
const STOPPING_RETRY_MS: u64 = 1000;

/// Sends messages to the actor.
#[derive(Debug, Clone)]
pub struct DecisionsHandle {
    actor: ActorRef<DecisionsMessage>,
}

impl DecisionsHandle {
    /// Creates a handle of a started actor.
    #[must_use]
    pub const fn new(actor: ActorRef<DecisionsMessage>) -> Self {
        Self { actor }
    }

    /// Asks whether a request may start.
    pub async fn admit(&self, query: AdmissionQuery) -> Result<Reservation, Refusal> {
        self.query(|reply| DecisionsMessage::Admit(query, reply))
            .await
            .unwrap_or_else(|| Err(stopping_refusal()))
    }

    /// Asks for the sidecar of the next attempt.
    pub async fn route(&self, query: RouteQuery) -> Result<Route, Refusal> {
        self.query(|reply| DecisionsMessage::Route(query, reply))
            .await
            .unwrap_or_else(|| Err(stopping_refusal()))
    }

    /// The address of a host, if the host list contains it.
    pub async fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let host = host.clone();
        self.query(|reply| DecisionsMessage::HostAddress(host, reply))
            .await
            .flatten()
    }

    /// The actor's part of `/status`.
    pub async fn status(&self) -> DecisionsStatus {
        self.query(DecisionsMessage::Status)
            .await
            .unwrap_or_default()
    }

    /// Sends a message that needs no reply.
    pub fn send(&self, message: DecisionsMessage) {
        if self.actor.cast(message).is_err() {
            debug!("entry: decisions actor has stopped, message dropped");
        }
    }

    async fn query<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> DecisionsMessage,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

const fn stopping_refusal() -> Refusal {
    Refusal {
        code: ResultCode::NotReady,
        retry_after_ms: STOPPING_RETRY_MS,
    }
}

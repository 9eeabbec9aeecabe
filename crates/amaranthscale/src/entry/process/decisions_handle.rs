//! What the requests of an entry ask its decisions.

use std::net::SocketAddr;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::HostId;
use amaranthscale_core::process::Refusal;
use log::debug;
use ractor::rpc::CallResult;
use ractor::{ActorRef, RpcReplyPort};

use super::{AdmissionQuestion, Decision, DecisionsStatus, Reservation, Route, RouteQuestion};

/// When to come back after the actor has stopped; only callers of a stopping entry see it.
const STOPPING_RETRY_MS: u64 = 1000;

/// Asks the actor.
#[derive(Debug, Clone)]
pub struct DecisionsHandle {
    actor: ActorRef<Decision>,
}

impl DecisionsHandle {
    /// Asks an actor that has been started.
    #[must_use]
    pub const fn new(actor: ActorRef<Decision>) -> Self {
        Self { actor }
    }

    /// Whether a request may start.
    pub async fn admit(&self, question: AdmissionQuestion) -> Result<Reservation, Refusal> {
        self.ask(|reply| Decision::Admit(question, reply))
            .await
            .unwrap_or_else(|| Err(stopping()))
    }

    /// The sidecar for the next attempt.
    pub async fn route(&self, question: RouteQuestion) -> Result<Route, Refusal> {
        self.ask(|reply| Decision::Route(question, reply))
            .await
            .unwrap_or_else(|| Err(stopping()))
    }

    /// The address of a host that the host list shows.
    pub async fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let host = host.clone();
        self.ask(|reply| Decision::Address(host, reply))
            .await
            .flatten()
    }

    /// What the books say.
    pub async fn status(&self) -> DecisionsStatus {
        self.ask(Decision::Status).await.unwrap_or_default()
    }

    /// Tells the actor something that needs no answer.
    pub fn tell(&self, message: Decision) {
        if self.actor.cast(message).is_err() {
            debug!("entry: decisions have stopped, a report is dropped");
        }
    }

    async fn ask<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> Decision,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(CallResult::Success(answer)) => Some(answer),
            _ => None,
        }
    }
}

const fn stopping() -> Refusal {
    Refusal {
        code: ResultCode::NotReady,
        retry_after_ms: STOPPING_RETRY_MS,
    }
}

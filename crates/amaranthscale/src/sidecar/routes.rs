//! What a sidecar answers on each path.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::wire::{
    self, Dispatch, Fetch, Hello, Outcome, Revoke, RevokeReply, TreeRequest,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use log::{debug, warn};
use ractor::{ActorRef, RpcReplyPort, call};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::answer::Answer;
use super::answer_body::AnswerBody;
use super::gate::{Fetched, GateMessage};
use super::job::Job;
use super::runner::Runner;
use super::status::Status;
use crate::connection::{ResponseBody, empty_body, full_body, read_body};
use crate::process::{ControlKind, ControlTraffic};

/// Longest wait for the body of a message from another process.
const BODY_PATIENCE: Duration = Duration::from_secs(10);
/// Room beside a dispatch's input for its other fields.
const DISPATCH_OVERHEAD_BYTES: usize = 16 * 1024;

/// What a sidecar answers on each path.
#[derive(Debug)]
pub(super) struct Routes {
    pub(super) gate: ActorRef<GateMessage>,
    pub(super) runner: Arc<Runner>,
}

impl Routes {
    /// Answers one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answered = match (method, path.as_str()) {
            (Method::POST, "/attempt") => self.attempt(request).await,
            (Method::POST, "/hello") => self.hello(request).await,
            (Method::POST, "/revoke") => self.revoke(request).await,
            (Method::POST, "/fetch") => self.fetch(request).await,
            (Method::POST, "/tree/since") => self.tree_since(request).await,
            (Method::POST, "/engine") => self.engine(),
            (Method::POST, "/leave") => Ok(self.leave()),
            (Method::GET, "/healthz") => Ok(plain(StatusCode::OK)),
            (Method::GET, "/readyz") => Ok(plain(self.readiness())),
            (Method::GET, "/status") => self.status().await,
            _ => Err(StatusCode::NOT_FOUND),
        };
        answered.unwrap_or_else(plain)
    }

    async fn attempt(&self, request: Request<Incoming>) -> Answered {
        let arrival = self.runner.board.now();
        let dispatch: Dispatch = self.read(ControlKind::Attempt, request).await?;
        self.runner.board.tree.heard(dispatch.tree_version);
        let max_result = self.runner.limits.max_result.as_bytes();
        let max_bytes = usize::try_from(max_result).unwrap_or(usize::MAX);
        let job = Arc::new(Job::new(dispatch, arrival, max_bytes));
        let answer = Arc::clone(&job.answer);
        self.tell(GateMessage::Dispatch(job))?;
        Ok(stream(self.follow(answer, 0)))
    }

    async fn hello(&self, request: Request<Incoming>) -> Answered {
        let hello: Hello = self.read(ControlKind::Hello, request).await?;
        self.runner.board.tree.heard(hello.tree_version);
        Ok(self.packed(ControlKind::Hello, &self.runner.board.stamp()))
    }

    async fn revoke(&self, request: Request<Incoming>) -> Answered {
        let revoke: Revoke = self.read(ControlKind::Revoke, request).await?;
        let answer = self.ask(|reply| GateMessage::Revoke(revoke, reply)).await?;
        let stamp = self.runner.board.stamp();
        Ok(self.packed(ControlKind::Revoke, &RevokeReply { answer, stamp }))
    }

    async fn fetch(&self, request: Request<Incoming>) -> Answered {
        let fetch: Fetch = self.read(ControlKind::Fetch, request).await?;
        let fetched = self.ask(|reply| GateMessage::Fetch(fetch, reply)).await?;
        let body = match fetched {
            Fetched::Answer(answer) => self.follow(answer, fetch.from_chunk),
            Fetched::Outcome(outcome) => self.follow(ended(fetch.attempt, *outcome), 0),
        };
        Ok(stream(body.within(fetch.budget.duration())))
    }

    async fn tree_since(&self, request: Request<Incoming>) -> Answered {
        let ask: TreeRequest = self.read(ControlKind::TreeExchange, request).await?;
        let board = &self.runner.board;
        board.tree.heard(ask.version);
        Ok(self.packed(ControlKind::TreeExchange, &board.tree.since(&ask)))
    }

    /// Tells the planner what the engine runs.
    fn engine(&self) -> Answered {
        let engine = self.runner.engine.as_ref().ok_or(StatusCode::NOT_FOUND)?;
        Ok(self.packed(ControlKind::Placement, &engine.report()))
    }

    fn leave(&self) -> Response<ResponseBody> {
        begin_leaving(&self.runner, &self.gate);
        plain(StatusCode::OK)
    }

    fn readiness(&self) -> StatusCode {
        if self.runner.board.is_leaving() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        }
    }

    async fn status(&self) -> Answered {
        let gate = self.ask(GateMessage::Figures).await?;
        let (runner, board) = (&self.runner, &self.runner.board);
        let max_jobs = usize::try_from(runner.limits.max_table_jobs).unwrap_or(usize::MAX);
        let status = Status {
            host: board.host.clone(),
            service: runner.service.clone(),
            incarnation: board.incarnation,
            tree_version: board.tree.version(),
            is_leaving: board.is_leaving(),
            clock_ms: board.now().as_millis(),
            load: board.load(),
            gate,
            engine: runner.engine.as_ref().map(|engine| engine.status()),
            unsettled_claims: max_jobs.saturating_sub(runner.table_jobs.available_permits()),
            counters: runner.counters.totals(),
        };
        let json = serde_json::to_vec(&status);
        let json = json.map_err(|_error| StatusCode::INTERNAL_SERVER_ERROR)?;
        Ok(with_content_type(json, "application/json"))
    }

    fn follow(&self, answer: Arc<Answer>, from_chunk: u64) -> AnswerBody {
        AnswerBody::new(answer, Arc::clone(&self.runner.board), from_chunk)
    }

    /// Reads a message and counts it by kind.
    async fn read<T: DeserializeOwned>(
        &self,
        kind: ControlKind,
        request: Request<Incoming>,
    ) -> Result<T, StatusCode> {
        let max_input = usize::try_from(self.runner.limits.max_input.as_bytes());
        let max_bytes = max_input
            .unwrap_or(usize::MAX)
            .saturating_add(DISPATCH_OVERHEAD_BYTES);
        let body = read_body(request.into_body(), max_bytes, BODY_PATIENCE).await;
        let body = body.map_err(|error| self.undecodable(kind, error))?;
        self.count_message(kind, &body);
        wire::decode(&body).map_err(|error| self.undecodable(kind, error))
    }

    fn count_message(&self, kind: ControlKind, body: &Bytes) {
        let traffic = self.traffic();
        traffic.count_message(kind);
        traffic.count_received(kind, body.len());
    }

    /// An answer that is known whole, counted by kind.
    fn packed(&self, kind: ControlKind, message: &impl Serialize) -> Response<ResponseBody> {
        let content = wire::encode(message);
        self.traffic().count_sent(kind, content.len());
        with_content_type(content, "application/msgpack")
    }

    fn traffic(&self) -> ControlTraffic {
        ControlTraffic::new(Arc::clone(&self.runner.counters))
    }

    fn undecodable(&self, kind: ControlKind, error: impl std::fmt::Display) -> StatusCode {
        self.runner.counters.count_reason("undecodable", kind);
        debug!("sidecar: {kind} not read: {error}");
        StatusCode::BAD_REQUEST
    }

    fn tell(&self, message: GateMessage) -> Result<(), StatusCode> {
        self.gate.cast(message).map_err(gate_gone)
    }

    async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(RpcReplyPort<T>) -> GateMessage,
    ) -> Result<T, StatusCode> {
        call!(self.gate, question).map_err(gate_gone)
    }
}

type Answered = Result<Response<ResponseBody>, StatusCode>;

/// Marks the backend server as leaving, at once for new work.
pub(super) fn begin_leaving(runner: &Runner, gate: &ActorRef<GateMessage>) {
    runner.board.leave();
    if let Err(error) = gate.cast(GateMessage::Leave) {
        warn!("sidecar: leaving not told: {error}");
    }
}

/// An answer that only has an end.
fn ended(attempt: AttemptId, outcome: Outcome) -> Arc<Answer> {
    let answer = Answer::new(attempt, 0);
    answer.end(outcome);
    Arc::new(answer)
}

fn gate_gone(error: impl std::fmt::Display) -> StatusCode {
    warn!("sidecar: the gate is gone: {error}");
    StatusCode::SERVICE_UNAVAILABLE
}

fn stream(body: AnswerBody) -> Response<ResponseBody> {
    Response::new(body.boxed_unsync())
}

fn with_content_type(content: Vec<u8>, content_type: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(content));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn plain(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

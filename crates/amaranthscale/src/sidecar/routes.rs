//! HTTP interface of a sidecar.

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
use super::job::Job;
use super::runner::Runner;
use super::scheduler::{Fetched, SchedulerMessage};
use super::status::Status;
use crate::connection::{ResponseBody, empty_body, full_body, read_body};
use crate::process::{ControlKind, ControlTraffic};

/// Timeout for reading the body of a message.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Size allowed for the fields of a dispatch other than its input.
const DISPATCH_OVERHEAD_BYTES: usize = 16 * 1024;

/// HTTP handler of a sidecar.
#[derive(Debug)]
pub(super) struct Routes {
    pub(super) scheduler: ActorRef<SchedulerMessage>,
    pub(super) runner: Arc<Runner>,
}

impl Routes {
    /// Handles one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let result = match (method, path.as_str()) {
            (Method::POST, "/attempt") => self.attempt(request).await,
            (Method::POST, "/hello") => self.hello(request).await,
            (Method::POST, "/revoke") => self.revoke(request).await,
            (Method::POST, "/fetch") => self.fetch(request).await,
            (Method::POST, "/tree/since") => self.tree_since(request).await,
            (Method::POST, "/engine") => self.engine(),
            (Method::POST, "/leave") => Ok(self.leave()),
            (Method::GET, "/healthz") => Ok(status_response(StatusCode::OK)),
            (Method::GET, "/readyz") => Ok(status_response(self.readiness())),
            (Method::GET, "/status") => self.status().await,
            _ => Err(StatusCode::NOT_FOUND),
        };
        result.unwrap_or_else(status_response)
    }

    async fn attempt(&self, request: Request<Incoming>) -> RouteResult {
        let arrival = self.runner.shared.now();
        let dispatch: Dispatch = self.read(ControlKind::Attempt, request).await?;
        self.runner
            .shared
            .tree
            .report_version(dispatch.tree_version);
        let max_result = self.runner.limits.max_result.as_bytes();
        let max_bytes = usize::try_from(max_result).unwrap_or(usize::MAX);
        let job = Arc::new(Job::new(dispatch, arrival, max_bytes));
        let answer = Arc::clone(&job.answer);
        self.send(SchedulerMessage::Dispatch(job))?;
        Ok(stream_response(self.follow(answer, 0)))
    }

    async fn hello(&self, request: Request<Incoming>) -> RouteResult {
        let hello: Hello = self.read(ControlKind::Hello, request).await?;
        self.runner.shared.tree.report_version(hello.tree_version);
        Ok(self.msgpack_response(ControlKind::Hello, &self.runner.shared.stamp()))
    }

    async fn revoke(&self, request: Request<Incoming>) -> RouteResult {
        let revoke: Revoke = self.read(ControlKind::Revoke, request).await?;
        let answer = self
            .call_scheduler(|reply| SchedulerMessage::Revoke(revoke, reply))
            .await?;
        let stamp = self.runner.shared.stamp();
        Ok(self.msgpack_response(ControlKind::Revoke, &RevokeReply { answer, stamp }))
    }

    async fn fetch(&self, request: Request<Incoming>) -> RouteResult {
        let fetch: Fetch = self.read(ControlKind::Fetch, request).await?;
        let fetched = self
            .call_scheduler(|reply| SchedulerMessage::Fetch(fetch, reply))
            .await?;
        let body = match fetched {
            Fetched::Answer(answer) => self.follow(answer, fetch.from_chunk),
            Fetched::Outcome(outcome) => self.follow(ended_answer(fetch.attempt, *outcome), 0),
        };
        Ok(stream_response(body.with_timeout(fetch.budget.duration())))
    }

    async fn tree_since(&self, request: Request<Incoming>) -> RouteResult {
        let tree_request: TreeRequest = self.read(ControlKind::TreeExchange, request).await?;
        let shared = &self.runner.shared;
        shared.tree.report_version(tree_request.version);
        Ok(self.msgpack_response(
            ControlKind::TreeExchange,
            &shared.tree.changes_since(&tree_request),
        ))
    }

    /// Reports to the planner what the engine runs.
    fn engine(&self) -> RouteResult {
        let engine = self.runner.engine.as_ref().ok_or(StatusCode::NOT_FOUND)?;
        Ok(self.msgpack_response(ControlKind::Placement, &engine.report()))
    }

    fn leave(&self) -> Response<ResponseBody> {
        begin_leaving(&self.runner, &self.scheduler);
        status_response(StatusCode::OK)
    }

    fn readiness(&self) -> StatusCode {
        if self.runner.shared.is_leaving() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        }
    }

    async fn status(&self) -> RouteResult {
        let scheduler = self.call_scheduler(SchedulerMessage::Status).await?;
        let (runner, shared) = (&self.runner, &self.runner.shared);
        let max_claims = usize::try_from(runner.limits.max_unsettled_claims).unwrap_or(usize::MAX);
        let status = Status {
            host: shared.host.clone(),
            service: runner.service.clone(),
            incarnation: shared.incarnation,
            tree_version: shared.tree.version(),
            is_leaving: shared.is_leaving(),
            clock_ms: shared.now().as_millis(),
            load: shared.load(),
            scheduler,
            engine: runner.engine.as_ref().map(|engine| engine.status()),
            unsettled_claims: max_claims.saturating_sub(runner.claim_permits.available_permits()),
            counters: runner.counters.totals(),
        };
        let json = serde_json::to_vec(&status);
        let json = json.map_err(|_error| StatusCode::INTERNAL_SERVER_ERROR)?;
        Ok(with_content_type(json, "application/json"))
    }

    fn follow(&self, answer: Arc<Answer>, from_chunk: u64) -> AnswerBody {
        AnswerBody::new(answer, Arc::clone(&self.runner.shared), from_chunk)
    }

    /// Reads a message and counts it under a control kind.
    async fn read<T: DeserializeOwned>(
        &self,
        kind: ControlKind,
        request: Request<Incoming>,
    ) -> Result<T, StatusCode> {
        let max_input = usize::try_from(self.runner.limits.max_input.as_bytes());
        let max_bytes = max_input
            .unwrap_or(usize::MAX)
            .saturating_add(DISPATCH_OVERHEAD_BYTES);
        let body = read_body(request.into_body(), max_bytes, BODY_TIMEOUT).await;
        let body = body.map_err(|error| self.decode_failure(kind, error))?;
        self.count_message(kind, &body);
        wire::decode(&body).map_err(|error| self.decode_failure(kind, error))
    }

    fn count_message(&self, kind: ControlKind, body: &Bytes) {
        let traffic = self.traffic();
        traffic.count_message(kind);
        traffic.count_received(kind, body.len());
    }

    /// A response as `application/msgpack`, counted under a control kind.
    fn msgpack_response(
        &self,
        kind: ControlKind,
        message: &impl Serialize,
    ) -> Response<ResponseBody> {
        let content = wire::encode(message);
        self.traffic().count_sent(kind, content.len());
        with_content_type(content, "application/msgpack")
    }

    fn traffic(&self) -> ControlTraffic {
        ControlTraffic::new(Arc::clone(&self.runner.counters))
    }

    fn decode_failure(&self, kind: ControlKind, error: impl std::fmt::Display) -> StatusCode {
        self.runner.counters.count_reason("undecodable", kind);
        debug!("sidecar: cannot decode {kind} message: {error}");
        StatusCode::BAD_REQUEST
    }

    fn send(&self, message: SchedulerMessage) -> Result<(), StatusCode> {
        self.scheduler.cast(message).map_err(scheduler_stopped)
    }

    async fn call_scheduler<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> SchedulerMessage,
    ) -> Result<T, StatusCode> {
        call!(self.scheduler, message).map_err(scheduler_stopped)
    }
}

type RouteResult = Result<Response<ResponseBody>, StatusCode>;

/// Marks the backend server as leaving; new attempts are refused at once.
pub(super) fn begin_leaving(runner: &Runner, scheduler: &ActorRef<SchedulerMessage>) {
    runner.shared.leave();
    if let Err(error) = scheduler.cast(SchedulerMessage::Leave) {
        warn!("sidecar: cannot notify the scheduler of leaving: {error}");
    }
}

/// An answer that consists of an end only.
fn ended_answer(attempt: AttemptId, outcome: Outcome) -> Arc<Answer> {
    let answer = Answer::new(attempt, 0);
    answer.end(outcome);
    Arc::new(answer)
}

fn scheduler_stopped(error: impl std::fmt::Display) -> StatusCode {
    warn!("sidecar: the scheduler has stopped: {error}");
    StatusCode::SERVICE_UNAVAILABLE
}

fn stream_response(body: AnswerBody) -> Response<ResponseBody> {
    Response::new(body.boxed_unsync())
}

fn with_content_type(content: Vec<u8>, content_type: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(content));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

//! Handles a caller's request and returns its one answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{CallId, OrganisationId, ServerIncarnation};
use amaranthscale_core::process::{QuarantineCause, Rank, StreamKey, Suspect, VersionBinding};
use amaranthscale_core::version::{KeyHolder, Route, Routing};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::{BufferReservation, GatewayContext, OpenRequest, SingleRun};
use super::super::{RequestAttributes, RequestContent};
use super::answer::AnswerBody;
use super::buffered_body::read_request_body;
use super::engine_run::run_engine;
use super::outgoing::OutgoingRequest;
use super::plain_run::run_plain;
use super::refusal::Refusal;
use crate::connection::{ReadBodyError, USUAL_FIELDS};

/// Retry delay for a request that is limited to a single run and already runs elsewhere.
const SINGLE_RUN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Memory of each field of a head with more than the usual number: in the caller's head, and in the request that is sent to servers.
const FIELD_BYTES: usize = 256;

/// A request that passed routing and authentication.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) route: Arc<Route>,
    pub(super) attributes: RequestAttributes,
    pub(super) request_content: RequestContent,
    /// The claim of its single run, if it is limited to one server at a time.
    pub(super) single_run: OnceLock<SingleRun>,
    pub(super) rank: Rank,
    /// Software versions whose servers may run it; only one once a stream has begun.
    pub(super) versions: VersionBinding,
    /// Organisation of the caller, if its key names one.
    pub(super) organisation: Option<OrganisationId>,
    pub(super) arrived_at: Instant,
    /// The caller's or the route's deadline, whichever is earlier.
    pub(super) deadline: Instant,
    /// Memory of a head with unusually many fields.
    _head_memory: Option<BufferReservation>,
}

impl AdmittedRequest {
    /// Remaining time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Refuses to forward a server's answer whose status would tell the caller that its request did not
    /// run, although the server does not state it and the request must not run twice.
    pub(super) fn check_promise(
        &self,
        context: &GatewayContext,
        status: StatusCode,
        server: &ServerIncarnation,
    ) -> Result<(), Refusal> {
        let is_promise = (context.dialect.promises_not_run)(status);
        if !is_promise || self.route.kind.may_repeat() {
            return Ok(());
        }
        context.counters.count("answer.unstated-promise");
        info!(
            call = self.attributes.call.as_str(), server:% = server, status = status.as_u16();
            "request: a server's status would promise that the request did not run"
        );
        Err(Refusal::new(ResultCode::AnswerLost))
    }

    /// Names one of this caller's calls for the record of where streams began.
    pub(super) fn stream_key(&self, call: &CallId) -> StreamKey {
        StreamKey {
            organisation: self.organisation.clone(),
            call: call.clone(),
        }
    }

    /// Refuses a quarantined request, and claims the single run of a suspected one.
    pub(super) async fn check_quarantine(&self, context: &GatewayContext) -> Result<(), Refusal> {
        let checked = context.crashes.check(&self.request_content);
        checked.map_err(|cause| Refusal::new(self.record_quarantined(&cause)))?;
        if self.single_run.get().is_some() {
            return Ok(());
        }
        let Ok(claimed) = context
            .crashes
            .claim_single_run(&self.request_content)
            .await
        else {
            info!(
                call = self.attributes.call.as_str(), parts = self.request_content.part_names().as_str();
                "request: single run taken"
            );
            let refusal = Refusal::new(ResultCode::RequestQuarantined);
            return Err(refusal.with_retry_after(SINGLE_RUN_RETRY_DELAY));
        };
        if let Some(claimed) = claimed {
            // Only this task claims for this request, so the value is not set yet.
            let _ = self.single_run.set(claimed);
        }
        Ok(())
    }

    /// Records that a server completed the request.
    pub(super) fn record_completion(&self, context: &GatewayContext) {
        context.crashes.record_completed_run(&self.request_content);
        if let Some(run) = self.single_run.get() {
            run.mark_completed();
        }
    }

    /// Logs that the request is quarantined; returns the result code.
    pub(super) fn record_quarantined(&self, cause: &QuarantineCause) -> ResultCode {
        info!(
            call = self.attributes.call.as_str(), suspect:% = cause.suspect,
            parts = self.request_content.part_names().as_str(), crashed = cause.crashes;
            "request: held back"
        );
        match cause.suspect {
            Suspect::PromptPart(_) => ResultCode::PromptPartQuarantined,
            Suspect::Request(_) => ResultCode::RequestQuarantined,
        }
    }
}

/// Answers one caller's request.
pub async fn answer_caller(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let open_request = context.shutdown.enter();
    let (head, body) = request.into_parts();
    let unanswered = UnansweredRequest::new(&context, &head, arrived_at);
    let answered = handle(&context, &head, body, arrived_at, open_request).await;
    unanswered.mark_answered();
    let mut response = match answered {
        Ok(response) => response,
        Err(refusal) => {
            log_refusal(&context, &head, refusal, arrived_at);
            refusal.response(&context)
        }
    };
    let is_kept = context.caller_intake().keeps_connection();
    if context.shutdown.is_stopping() || !is_kept {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    context
        .counters
        .count_reason("answer", response.status().as_u16());
    // For a stream this is the time to its head, which is sent with the first event.
    context.latencies.record("answer", arrived_at.elapsed());
    response
}

/// A request that was read and has no answer yet; logs a line if it is dropped unanswered.
///
/// A caller that disconnects during the job ends the task that serves the request, and no other log
/// line would contain the request.
struct UnansweredRequest {
    context: Arc<GatewayContext>,
    call: String,
    arrived_at: Instant,
    is_open: bool,
}

impl UnansweredRequest {
    fn new(context: &Arc<GatewayContext>, head: &request::Parts, arrived_at: Instant) -> Self {
        Self {
            context: Arc::clone(context),
            call: call_id(context, head).to_owned(),
            arrived_at,
            is_open: true,
        }
    }

    fn mark_answered(mut self) {
        self.is_open = false;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        if self.is_open {
            self.context.counters.count("caller.left");
            info!(
                call = self.call.as_str(), ms = ms(self.arrived_at.elapsed());
                "request: caller left"
            );
        }
    }
}

/// The caller's id of the call, for log lines.
fn call_id<'a>(context: &GatewayContext, head: &'a request::Parts) -> &'a str {
    let call = head.headers.get(&context.dialect.headers.call);
    call.and_then(|call| call.to_str().ok()).unwrap_or("-")
}

fn log_refusal(
    context: &GatewayContext,
    head: &request::Parts,
    refusal: Refusal,
    arrived_at: Instant,
) {
    let call = call_id(context, head);
    let version = context
        .cluster_view
        .routing()
        .map_or(0, |routing| routing.version().get());
    info!(
        call, code = refusal.code.number(), reason = refusal.code.name(), version,
        ran:% = refusal.code.ran(), ms = ms(arrived_at.elapsed());
        "request: refused"
    );
}

async fn handle(
    context: &Arc<GatewayContext>,
    head: &request::Parts,
    body: Incoming,
    arrived_at: Instant,
    open_request: OpenRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let routing = context.cluster_view.routing();
    let routing = routing.ok_or(Refusal::new(ResultCode::NotReady))?;
    if context.cluster_view.is_behind(context.max_routing_lag) {
        return Err(Refusal::new(ResultCode::RoutingBehind));
    }
    let route = find_route(&routing, head)?;
    let holder = check_key(context, &routing, &route, head)?;
    let attributes =
        (context.dialect.parse_request_attributes)(&head.headers).map_err(|error| {
            info!(reason:% = error; "request: invalid headers");
            Refusal::new(ResultCode::MalformedRequest)
        })?;
    let head_memory = reserve_head(context, head)?;
    let timeout = attributes
        .timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = arrived_at + timeout;
    let body = read_caller_body(context, &routing, body, deadline).await?;
    // A stream goes on at the service that began it.
    let resumption = attributes.resumption.as_ref();
    let first_call = resumption.and_then(|resumption| resumption.first_call.as_ref());
    let service = route.service_for(first_call.unwrap_or(&attributes.call));
    let service = service.cloned();
    let service = service.ok_or(Refusal::new(ResultCode::NoBackendServer))?;
    let host = host_of(head).to_owned();
    let uri = head.uri.clone();
    let request_content = RequestContent::new(holder.clone(), host, uri, body.clone(), &attributes);
    let outgoing = OutgoingRequest::new(head, body, &context.dialect, holder.as_deref());
    let organisation = holder.as_ref().map(|holder| holder.organisation.clone());
    let rank = Rank {
        organisation: holder.and_then(|holder| holder.priority).unwrap_or(0),
        route: route.priority,
    };
    let admitted = AdmittedRequest {
        route,
        attributes,
        request_content,
        single_run: OnceLock::new(),
        rank,
        versions: VersionBinding::ANY,
        organisation,
        arrived_at,
        deadline,
        _head_memory: head_memory,
    };
    let now = context.cluster_view.clock().now();
    context.retry_budgets.record_request(&service, now);
    if admitted.route.kind.is_streaming() {
        run_engine(context, admitted, service, outgoing, open_request).await
    } else {
        run_plain(context, &admitted, &service, &outgoing).await
    }
}

fn host_of(head: &request::Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

fn find_route(routing: &Routing, head: &request::Parts) -> Result<Arc<Route>, Refusal> {
    let route = routing.route(host_of(head), head.uri.path());
    route.cloned().ok_or(Refusal::new(ResultCode::UnknownPath))
}

/// The holder of the request's key, if the route requires one.
///
/// Beyond the maximum age of the routing, neither known nor unknown keys are decided on: a key may
/// have been revoked or created since the last update from the store.
fn check_key(
    context: &GatewayContext,
    routing: &Routing,
    route: &Route,
    head: &request::Parts,
) -> Result<Option<Arc<KeyHolder>>, Refusal> {
    if route.is_public || !routing.requires_keys() {
        return Ok(None);
    }
    if context
        .cluster_view
        .age()
        .is_none_or(|age| age > context.max_key_age)
    {
        return Err(Refusal::new(ResultCode::KnowledgeStale));
    }
    let key = head.headers.get(&context.dialect.headers.key);
    let key = key.and_then(|key| key.to_str().ok());
    let holder = key.and_then(|key| routing.holder(key));
    holder
        .cloned()
        .map(Some)
        .ok_or(Refusal::new(ResultCode::WrongKey))
}

/// Reserves memory for a head with so many fields that it takes far more than its bytes.
fn reserve_head(
    context: &GatewayContext,
    head: &request::Parts,
) -> Result<Option<BufferReservation>, Refusal> {
    let fields = head.headers.len();
    if fields <= USUAL_FIELDS {
        return Ok(None);
    }
    let reserved = context.request_memory.try_reserve(fields * FIELD_BYTES);
    let refusal = || Refusal::new(ResultCode::EntryFull).closing();
    reserved.map(Some).ok_or_else(refusal)
}

async fn read_caller_body(
    context: &GatewayContext,
    routing: &Routing,
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let max_bytes = routing.bounds().max_body_bytes;
    let timeout = deadline.saturating_duration_since(Instant::now());
    let read = read_request_body(&context.request_memory, body, max_bytes, timeout).await;
    read.map_err(|error| {
        let code = match error {
            ReadBodyError::TooLarge(_) => ResultCode::BodyTooLarge,
            ReadBodyError::TimedOut(..) => ResultCode::SlowCaller,
            ReadBodyError::NoMemory(_) => ResultCode::EntryFull,
            ReadBodyError::Malformed(_) | ReadBodyError::Broken(_) => ResultCode::MalformedRequest,
        };
        Refusal::new(code).closing()
    })
}

//! Takes a caller's request and gives its one answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::process::Rank;
use amaranthscale_core::version::{KeyHolder, Route, Routing};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response};
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::process::{GatewayContext, OpenRequest, SingleRun};
use super::super::{RequestAttributes, RequestContent};
use super::answer::AnswerBody;
use super::engine_run::run_engine;
use super::outgoing::Outgoing;
use super::plain_run::run_plain;
use super::refused::Refused;
use crate::connection::{ReadBodyError, read_body};

/// Time after which a caller may come back whose request runs elsewhere and may run once at a time.
const SINGLE_RUN_RETRY: Duration = Duration::from_secs(2);

/// A request that may run.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) route: Arc<Route>,
    pub(super) work: RequestAttributes,
    pub(super) request_content: RequestContent,
    /// The claim on its run, where it may be sent to one server at a time only.
    pub(super) single_run: OnceLock<SingleRun>,
    pub(super) rank: Rank,
    pub(super) arrived: Instant,
    /// When the caller's or the route's time is over.
    pub(super) until: Instant,
}

impl Admitted {
    /// Time that is left.
    pub(super) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Refuses a request under which servers crash, and claims the run of one under which some did.
    pub(super) async fn check_held(&self, context: &GatewayContext) -> Result<(), Refused> {
        let held = context.crashes.check(&self.request_content);
        held.map_err(|crashed| Refused::new(self.held_back(crashed)))?;
        if self.single_run.get().is_some() {
            return Ok(());
        }
        let Ok(claimed) = context
            .crashes
            .claim_single_run(&self.request_content)
            .await
        else {
            let code = self.held_back(0);
            return Err(Refused::new(code).come_back_in(SINGLE_RUN_RETRY));
        };
        if let Some(claimed) = claimed {
            // Nobody else claims for this request, so the place is free.
            let _ = self.single_run.set(claimed);
        }
        Ok(())
    }

    /// Notes that a server ran the request to its end.
    pub(super) fn completed(&self, context: &GatewayContext) {
        context.crashes.record_completed_run(&self.request_content);
        if let Some(run) = self.single_run.get() {
            run.mark_completed();
        }
    }

    /// Notes that the request is held back.
    pub(super) fn held_back(&self, crashed: usize) -> ResultCode {
        info!(
            call = self.work.call.as_str(), fingerprint:% = self.request_content.fingerprint(), crashed;
            "request: held back"
        );
        ResultCode::RequestQuarantined
    }
}

/// Answers one caller's request.
pub async fn answer_caller(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let open = context.shutdown.enter();
    let (head, body) = request.into_parts();
    let unanswered = Unanswered::new(&context, &head, arrived);
    let answered = take(&context, &head, body, arrived, open).await;
    unanswered.answered();
    let mut response = match answered {
        Ok(response) => response,
        Err(refused) => {
            log_refusal(&context, &head, refused, arrived);
            refused.response(&context)
        }
    };
    if context.shutdown.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    context
        .counters
        .count_reason("answer", response.status().as_u16());
    // Of a stream this is the time to its head, which comes with its first event.
    context.latencies.record("answer", arrived.elapsed());
    response
}

/// A request that was read and has no answer yet.
///
/// Guards against a request without a trace: a caller that leaves while its pieces are made ends the
/// task that serves it, and no other line would name the request.
struct Unanswered {
    context: Arc<GatewayContext>,
    call: String,
    arrived: Instant,
    is_open: bool,
}

impl Unanswered {
    fn new(context: &Arc<GatewayContext>, head: &request::Parts, arrived: Instant) -> Self {
        Self {
            context: Arc::clone(context),
            call: call_name(context, head).to_owned(),
            arrived,
            is_open: true,
        }
    }

    fn answered(mut self) {
        self.is_open = false;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_open {
            self.context.counters.count("caller.left");
            info!(
                call = self.call.as_str(), ms = ms(self.arrived.elapsed());
                "request: caller left"
            );
        }
    }
}

/// The caller's name of its send, as lines show it.
fn call_name<'a>(context: &GatewayContext, head: &'a request::Parts) -> &'a str {
    let call = head.headers.get(&context.dialect.headers.call);
    call.and_then(|call| call.to_str().ok()).unwrap_or("-")
}

fn log_refusal(
    context: &GatewayContext,
    head: &request::Parts,
    refused: Refused,
    arrived: Instant,
) {
    let call = call_name(context, head);
    let version = context
        .cluster_view
        .routing()
        .map_or(0, |routing| routing.version().get());
    info!(
        call, code = refused.code.number(), reason = refused.code.name(), version,
        ran:% = refused.code.ran(), ms = ms(arrived.elapsed());
        "request: refused"
    );
}

async fn take(
    context: &Arc<GatewayContext>,
    head: &request::Parts,
    body: Incoming,
    arrived: Instant,
    open: OpenRequest,
) -> Result<Response<AnswerBody>, Refused> {
    let routing = context.cluster_view.routing();
    let routing = routing.ok_or(Refused::new(ResultCode::NotReady))?;
    if context.cluster_view.is_behind(context.max_routing_lag) {
        return Err(Refused::new(ResultCode::RoutingBehind));
    }
    let route = find_route(&routing, head)?;
    let holder = check_key(context, &routing, &route, head)?;
    let work = (context.dialect.parse_request_attributes)(&head.headers).map_err(|error| {
        info!(reason:% = error; "request: head refused");
        Refused::new(ResultCode::MalformedRequest)
    })?;
    let timeout = work.timeout.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + timeout;
    let body = read_whole(&routing, body, until).await?;
    let service = route.service_for(&work.call).cloned();
    let service = service.ok_or(Refused::new(ResultCode::NoBackendServer))?;
    let host = host_of(head).to_owned();
    let request_content = RequestContent::new(holder.clone(), host, head.uri.clone(), body.clone());
    let outgoing = Outgoing::new(head, body, &context.dialect, holder.as_deref());
    let rank = Rank {
        organisation: holder.and_then(|holder| holder.priority).unwrap_or(0),
        route: route.priority,
    };
    let admitted = Admitted {
        route,
        work,
        request_content,
        single_run: OnceLock::new(),
        rank,
        arrived,
        until,
    };
    let now = context.cluster_view.clock().now();
    context.retry_budgets.record_request(&service, now);
    if admitted.route.kind.is_streaming() {
        run_engine(context, admitted, service, outgoing, open).await
    } else {
        run_plain(context, &admitted, &service, &outgoing).await
    }
}

fn host_of(head: &request::Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.host()).unwrap_or_default()
}

fn find_route(routing: &Routing, head: &request::Parts) -> Result<Arc<Route>, Refused> {
    let route = routing.route(host_of(head), head.uri.path());
    route.cloned().ok_or(Refused::new(ResultCode::UnknownPath))
}

/// The holder of the request's key, if the route needs one.
///
/// Guards against a revoked key at a machine that has not heard of its end: the longer nothing
/// came from the store, the more may have changed. Beyond the bound nothing is believed, neither a
/// known key nor an unknown one.
fn check_key(
    context: &GatewayContext,
    routing: &Routing,
    route: &Route,
    head: &request::Parts,
) -> Result<Option<Arc<KeyHolder>>, Refused> {
    if route.is_public || !routing.requires_keys() {
        return Ok(None);
    }
    if context
        .cluster_view
        .age()
        .is_none_or(|age| age > context.max_key_age)
    {
        return Err(Refused::new(ResultCode::KnowledgeStale));
    }
    let key = head.headers.get(&context.dialect.headers.key);
    let key = key.and_then(|key| key.to_str().ok());
    let holder = key.and_then(|key| routing.holder(key));
    holder
        .cloned()
        .map(Some)
        .ok_or(Refused::new(ResultCode::WrongKey))
}

async fn read_whole(routing: &Routing, body: Incoming, until: Instant) -> Result<Bytes, Refused> {
    let max_bytes = routing.bounds().max_body_bytes;
    let told = body.size_hint().lower();
    if told > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(Refused::new(ResultCode::BodyTooLarge).closing());
    }
    let timeout = until.saturating_duration_since(Instant::now());
    read_body(body, max_bytes, timeout).await.map_err(|error| {
        let code = match error {
            ReadBodyError::TooLarge(_) => ResultCode::BodyTooLarge,
            ReadBodyError::TimedOut(..) => ResultCode::SlowCaller,
            ReadBodyError::Broken(_) => ResultCode::MalformedRequest,
        };
        Refused::new(code).closing()
    })
}

//! HTTP interface for callers; answers are sent whole or as server-sent events.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, RequestId};
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use super::reply::{REQUEST_ID_HEADER, answer_response, with_retry_after};
use crate::connection::{ReadBodyError, ResponseBody, read_body, to_json};
use crate::entry::process::EntryContext;
use crate::entry::request::{
    Answer, AnswerEnvelope, CallerHead, CallerRequest, DeadlineLimits, RequestRun, TokenText,
};
use crate::version::TreeSyncHandle;

/// Events buffered for a slow reader before writing to it blocks.
const EVENT_BUFFER: usize = 64;

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Maximum size of a body.
    pub max_body_bytes: usize,
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// Timeout for reading a body.
    pub read_timeout: Duration,
    /// Limits on deadlines.
    pub deadline: DeadlineLimits,
}

/// HTTP handler for callers.
#[derive(Debug, Clone)]
pub struct CallerHttp {
    context: EntryContext,
    tree: TreeSyncHandle,
    host: HostId,
    limits: CallerLimits,
    open_count: Arc<AtomicUsize>,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
struct OpenRequest(Arc<AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerHttp {
    /// Creates the handler of an entry.
    #[must_use]
    pub fn new(
        context: EntryContext,
        tree: TreeSyncHandle,
        host: HostId,
        limits: CallerLimits,
    ) -> Self {
        Self {
            context,
            tree,
            host,
            limits,
            open_count: Arc::default(),
        }
    }

    /// Number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Handles one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let id = RequestId::from_random_bits(rand::random());
        let open = match self.begin() {
            Ok(open) => open,
            Err(code) => return self.refused(id, code),
        };
        let request = match self.read(request).await {
            Ok(request) => request,
            Err(code) => return self.refused(id, code),
        };
        if request.wants_stream {
            return self.stream(id, request, arrived, open);
        }
        let run = RequestRun::new(&self.context, &self.host, id, &request, arrived);
        let answer = with_retry_after(run.to_answer().await);
        answer_response(id, Some(&request.target), &answer)
    }

    /// Counts a request as open, or refuses it before its body is read.
    ///
    /// The limit keeps a flood of requests from exhausting the entry's memory.
    fn begin(&self) -> Result<OpenRequest, ResultCode> {
        let before = self.open_count.fetch_add(1, Ordering::Relaxed);
        let open = OpenRequest(Arc::clone(&self.open_count));
        if before >= self.limits.max_requests {
            return Err(ResultCode::EntryFull);
        }
        if !self.tree.is_ready() {
            return Err(ResultCode::NotReady);
        }
        Ok(open)
    }

    async fn read(&self, request: Request<Incoming>) -> Result<CallerRequest, ResultCode> {
        let (head, body) = request.into_parts();
        let checked = {
            let tree = self.context.tree.borrow();
            CallerHead::read(
                &head.method,
                &head.uri,
                &head.headers,
                &tree,
                self.limits.deadline,
            )
        }?;
        let body = read_body(body, self.limits.max_body_bytes, self.limits.read_timeout).await;
        checked.with_body(body.map_err(|error| body_error_code(&error))?)
    }

    fn refused(&self, id: RequestId, code: ResultCode) -> Response<ResponseBody> {
        self.context
            .counters
            .count_reason("request.refused", code.name());
        answer_response(id, None, &with_retry_after(Answer::from_code(code)))
    }

    fn stream(
        &self,
        id: RequestId,
        request: CallerRequest,
        arrived: Instant,
        open: OpenRequest,
    ) -> Response<ResponseBody> {
        let (sender, body) = Channel::<Bytes, Infallible>::new(EVENT_BUFFER);
        let this = self.clone();
        tokio::spawn(async move {
            this.run_streaming(id, &request, arrived, sender).await;
            drop(open);
        });
        let mut response = Response::new(body.boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        response
    }

    /// Runs a request while writing its events; stops early if the caller disconnects.
    async fn run_streaming(
        &self,
        id: RequestId,
        request: &CallerRequest,
        arrived: Instant,
        mut sender: Sender<Bytes, Infallible>,
    ) {
        let (tokens, received) = unbounded_channel();
        let run = RequestRun::new(&self.context, &self.host, id, request, arrived);
        let running = async move { run.streaming_to(&tokens).to_answer().await };
        let Some(answer) = run_while_writing(running, write_tokens(&mut sender, received)).await
        else {
            self.context.counters.count("stream.caller_gone");
            return;
        };
        let envelope = AnswerEnvelope::new(id, &with_retry_after(answer));
        let _ = sender.send_data(event("end", &to_json(&envelope))).await;
    }
}

/// Polls a run and the writing of its tokens; `None` if the caller disconnected first.
///
/// Dropping the run cancels its attempt, which frees the slot that it used.
async fn run_while_writing(
    running: impl Future<Output = Answer>,
    writing: impl Future<Output = Result<(), ()>>,
) -> Option<Answer> {
    tokio::pin!(running, writing);
    tokio::select! {
        answer = &mut running => writing.await.ok().map(|()| answer),
        written = &mut writing => match written {
            Ok(()) => Some(running.await),
            Err(()) => None,
        },
    }
}

async fn write_tokens(
    sender: &mut Sender<Bytes, Infallible>,
    mut tokens: UnboundedReceiver<TokenText>,
) -> Result<(), ()> {
    while let Some(token) = tokens.recv().await {
        let event = event("token", &to_json(&token));
        sender.send_data(event).await.map_err(|_gone| ())?;
    }
    Ok(())
}

fn event(name: &str, data: &Bytes) -> Bytes {
    let mut event = format!("event: {name}\ndata: ").into_bytes();
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}

const fn body_error_code(error: &ReadBodyError) -> ResultCode {
    match error {
        ReadBodyError::TooLarge(_) => ResultCode::BodyTooLarge,
        ReadBodyError::NoMemory(_) => ResultCode::EntryFull,
        ReadBodyError::TimedOut(..) => ResultCode::SlowCaller,
        ReadBodyError::Malformed(_) | ReadBodyError::Broken(_) => ResultCode::MalformedRequest,
    }
}

//! A fake backend server whose answers are released by the test.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthscale::connection::{
    HttpServer, HttpServerLimits, ResponseBody, empty_body, full_body, read_body,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::{Semaphore, watch};

use super::with_timeout;

/// First part of `/stream`, sent at once.
pub const FIRST_LINE: &[u8] = b"one\n";
/// Second part of `/stream`, sent when released: one more token and an engine's end line.
pub const LAST_LINES: &[u8] = b"two\n{\"end\":{}}\n";

/// A fake backend server whose answers are released by the test.
///
/// `/echo` answers with its input, `/held` does so when released, `/stream` sends one line at once
/// and the rest when released, `/big` answers with 100 000 bytes and `/huge` with 8 000 000,
/// `/fail` with an error and `/busy` with a refusal that states "not run".
#[derive(Debug)]
pub struct FakeBackend {
    server: HttpServer,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    calls: watch::Sender<Vec<String>>,
    cancelled: watch::Sender<Vec<String>>,
    releases: Semaphore,
    headers: Mutex<Vec<hyper::HeaderMap>>,
}

impl FakeBackend {
    pub async fn start() -> Self {
        let shared = Arc::new(Shared {
            calls: watch::Sender::new(Vec::new()),
            cancelled: watch::Sender::new(Vec::new()),
            releases: Semaphore::new(0),
            headers: Mutex::new(Vec::new()),
        });
        let answering = Arc::clone(&shared);
        let answer = move |request| Arc::clone(&answering).answer(request);
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = HttpServer::start(listen, HttpServerLimits::default(), answer).await;
        Self {
            server: server.unwrap(),
            shared,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ids of all received calls, in order.
    pub fn calls(&self) -> Vec<String> {
        self.shared.calls.borrow().clone()
    }

    /// Headers of all received calls, in order.
    pub fn headers(&self) -> Vec<hyper::HeaderMap> {
        self.shared.headers.lock().unwrap().clone()
    }

    /// Waits until this number of calls was received.
    pub async fn wait_for_calls(&self, times: usize) {
        let mut calls = self.shared.calls.subscribe();
        let enough = calls.wait_for(|calls| calls.len() >= times);
        with_timeout(enough).await.unwrap();
    }

    /// Waits until a call is cancelled and returns its id.
    pub async fn wait_for_cancellation(&self) -> String {
        let mut cancelled = self.shared.cancelled.subscribe();
        let any = cancelled.wait_for(|ids| !ids.is_empty());
        let first = with_timeout(any).await.unwrap();
        first[0].clone()
    }

    /// Releases one blocked call.
    pub fn release_call(&self) {
        self.shared.releases.add_permits(1);
    }
}

impl Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix("/cancel/") {
            self.cancelled.send_modify(|ids| ids.push(id.to_owned()));
            return Response::new(empty_body());
        }
        let headers = request.headers().clone();
        let id = headers["x-call-id"].to_str().unwrap().to_owned();
        let input = read_body(request.into_body(), 1 << 20, Duration::from_secs(10)).await;
        self.headers.lock().unwrap().push(headers);
        self.calls.send_modify(|ids| ids.push(id));
        self.work(&path, input.unwrap()).await
    }

    async fn work(self: Arc<Self>, path: &str, input: Bytes) -> Response<ResponseBody> {
        match path {
            "/held" => {
                self.releases.acquire().await.unwrap().forget();
                Response::new(full_body(input))
            }
            "/stream" => self.stream(),
            "/big" => Response::new(full_body(vec![7_u8; 100_000])),
            "/huge" => Response::new(full_body(vec![7_u8; 8_000_000])),
            "/fail" => with_status(StatusCode::INTERNAL_SERVER_ERROR, "no such truck"),
            "/busy" => busy(),
            _ => Response::new(full_body(input)),
        }
    }

    fn stream(self: Arc<Self>) -> Response<ResponseBody> {
        let (mut sender, body) = Channel::<Bytes>::new(4);
        tokio::spawn(async move {
            let _ = sender.send_data(Bytes::from_static(FIRST_LINE)).await;
            self.releases.acquire().await.unwrap().forget();
            let _ = sender.send_data(Bytes::from_static(LAST_LINES)).await;
        });
        let mut response = Response::new(body.boxed_unsync());
        let content_type = "application/x-ndjson".parse().unwrap();
        response.headers_mut().insert("content-type", content_type);
        response
    }
}

fn busy() -> Response<ResponseBody> {
    let mut response = with_status(StatusCode::SERVICE_UNAVAILABLE, "busy");
    let headers = response.headers_mut();
    headers.insert("x-not-run", "1".parse().unwrap());
    headers.insert("retry-after", "2".parse().unwrap());
    response
}

fn with_status(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

//! HTTP server that passes each request with its complete body to a handler.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;

use crate::acceptor::start_acceptor;
use crate::http::{ConnectionClosed, HandlerResult, RunningStandin, StopSignal};

/// Serves HTTP/1.1 and HTTP/2 with prior knowledge until the stop signal.
pub(crate) async fn start_server<H, F>(
    listen: SocketAddr,
    stop: StopSignal,
    handler: H,
) -> io::Result<RunningStandin>
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let serve = move |stream| serve_connection(stream, handler.clone());
    start_acceptor(listen, stop, serve).await
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let service = service_fn(move |request| handle(request, handler.clone()));
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("server: connection ended: {error}");
    }
}

async fn handle<H, F>(request: Request<Incoming>, handler: H) -> HandlerResult
where
    H: Fn(Request<Bytes>) -> F,
    F: Future<Output = HandlerResult>,
{
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Err(ConnectionClosed::ByCaller);
    };
    handler(Request::from_parts(parts, body.to_bytes())).await
}

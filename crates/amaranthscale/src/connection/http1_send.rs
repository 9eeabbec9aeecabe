//! Sends one request on an HTTP/1.1 connection.
//!
//! The HTTP library skips interim answers (status 1xx) without a limit, so a server that sends
//! nothing else would keep its caller's processor busy until the deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::ext::on_informational;
use hyper::{Request, Response};
use tokio::sync::Notify;

/// Maximum number of interim answers to one request; servers send one or two.
const MAX_INTERIM_ANSWERS: usize = 32;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The library has not begun to write it.
    NotSent(Box<Request<Full<Bytes>>>, String),
    /// The server sent bytes that are no answer.
    NoAnswer(String),
    /// The connection ended.
    Lost(String),
}

/// Sends a request and waits for the head of its response.
pub(crate) async fn try_send(
    sender: &mut SendRequest<Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Unanswered> {
    let too_many_interim = Arc::new(Notify::new());
    let notified = Arc::clone(&too_many_interim);
    let received = AtomicUsize::new(0);
    on_informational(&mut request, move |_answer| {
        if received.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_ANSWERS {
            notified.notify_one();
        }
    });
    let response = tokio::select! {
        response = sender.try_send_request(request) => response,
        () = too_many_interim.notified() => {
            return Err(Unanswered::NoAnswer("too many interim answers".to_owned()));
        }
    };
    response.map_err(|mut error| {
        let request = error.take_message();
        let error = error.into_error();
        let reason = error.to_string();
        match request {
            Some(request) => Unanswered::NotSent(Box::new(request), reason),
            None if error.is_parse() => Unanswered::NoAnswer(reason),
            None => Unanswered::Lost(reason),
        }
    })
}

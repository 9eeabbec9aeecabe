//! Jobs between gateways.
//!
//! One request carries the order, and its answer stays open as long as the results are needed: a
//! gateway that drops the answer, dies or falls silent so ends the job at its owner.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::JobSpec;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use log::warn;
use quick_error::quick_error;

use super::peer_message::{read_message, status};
use super::{BatchOwners, JobOutcome, JobSource, JobUpdate, RunningJob};
use crate::connection::{PeerClient, PeerError, ResponseBody};

/// Start of the path of a request that carries a job; the owner's name follows.
pub const PIECES_PATH: &str = "/pieces/";
/// Largest order: some stages of some hundred bytes, and as much for each result that is kept.
const MAX_ORDER_BYTES: usize = 256 * 1024;
/// Largest piece of news: the handles of a whole request.
const MAX_NEWS_BYTES: usize = 1024 * 1024;
/// Bytes of the length before each piece of news.
const LENGTH_BYTES: usize = 4;

quick_error! {
    /// A job that another gateway did not answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AskError {
        /// No connection came about.
        NotReached(reason: String) {
            display("{reason}")
        }
        /// The connection ended before the answer; the gateway itself may live.
        Lost(reason: String) {
            display("{reason}")
        }
        /// The gateway fell silent: frozen, cut off, or its connection was.
        Silent {
            display("it fell silent")
        }
        /// Another life is at the address.
        OtherLife {
            display("another life is at its address")
        }
    }
}

/// Asks another gateway; the open body keeps the results, and news go to a function.
pub(super) async fn ask_peer(
    peers: &PeerClient,
    owner: &InstanceId,
    address: SocketAddr,
    order: &JobSpec,
    note: impl FnMut(JobUpdate),
) -> Result<(JobOutcome, Incoming), AskError> {
    let path = format!("{PIECES_PATH}{owner}");
    let encoded =
        rmp_serde::to_vec_named(order).map_err(|error| AskError::NotReached(error.to_string()))?;
    let response = peers
        .post(address, &path, encoded)
        .await
        .map_err(|error| match error {
            PeerError::NotSent(..) => AskError::NotReached(error.to_string()),
            PeerError::Lost(..) => AskError::Lost(error.to_string()),
            PeerError::TimedOut(..) => AskError::Silent,
        })?;
    if response.status() != StatusCode::OK {
        return Err(AskError::OtherLife);
    }
    let mut body = response.into_body();
    let answer = read_answer(&mut body, note).await?;
    Ok((answer, body))
}

async fn read_answer(
    body: &mut Incoming,
    mut note: impl FnMut(JobUpdate),
) -> Result<JobOutcome, AskError> {
    let mut read = BytesMut::new();
    loop {
        while let Some(news) = next_news(&mut read).map_err(AskError::Lost)? {
            match news {
                JobUpdate::Ended(answer) => return Ok(answer),
                news => note(news),
            }
        }
        let ended = || AskError::Lost("the answer ended early".to_owned());
        let frame = body.frame().await.ok_or_else(ended)?;
        let frame = frame.map_err(|error| {
            if error.is_timeout() {
                AskError::Silent
            } else {
                AskError::Lost(error.to_string())
            }
        })?;
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
}

/// Takes the next whole piece of news off what was read.
fn next_news(read: &mut BytesMut) -> Result<Option<JobUpdate>, String> {
    if read.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let mut head = &read[..LENGTH_BYTES];
    let length = usize::try_from(head.get_u32()).map_err(|error| error.to_string())?;
    if length > MAX_NEWS_BYTES {
        return Err(format!("{length} bytes of news: at most {MAX_NEWS_BYTES}"));
    }
    if read.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let news = read.split_to(LENGTH_BYTES + length);
    let news = rmp_serde::from_slice(&news[LENGTH_BYTES..]).map_err(|error| error.to_string())?;
    Ok(Some(news))
}

fn encoded(news: &JobUpdate) -> Bytes {
    // Numbers, texts and lists of them always have an encoding.
    let content = rmp_serde::to_vec_named(news).unwrap_or_default();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut framed = BytesMut::from(&length.to_be_bytes()[..]);
    framed.extend_from_slice(&content);
    framed.freeze()
}

/// Answers another gateway's job.
///
/// Guards against a job for an earlier life at this address: its sender has not heard that it
/// ended, and would make this gateway a second owner beside the one that the others ask.
pub(super) async fn serve_pieces(
    own: InstanceId,
    batches: Arc<BatchOwners>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path().strip_prefix(PIECES_PATH) != Some(own.as_str()) {
        return status(StatusCode::NOT_FOUND);
    }
    let order: JobSpec = match read_message(request, MAX_ORDER_BYTES).await {
        Ok(order) => order,
        Err(reason) => {
            warn!(reason = reason.as_str(); "batches: a peer's order cannot be read");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let job = batches.submit(order, JobSource::Peer).await;
    let body = NewsBody {
        job,
        has_ended: false,
    };
    Response::new(body.boxed_unsync())
}

/// An answer that tells of a job and stays open while its results are needed.
struct NewsBody {
    job: RunningJob,
    has_ended: bool,
}

impl Body for NewsBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.has_ended {
            let Poll::Ready(news) = self.job.updates.poll_recv(context) else {
                return Poll::Pending;
            };
            // An owner that tells nothing more is about to stop.
            let news = news.unwrap_or(JobUpdate::Ended(JobOutcome::Stopping));
            self.has_ended = matches!(news, JobUpdate::Ended(_));
            return Poll::Ready(Some(Ok(Frame::data(encoded(&news)))));
        }
        if self.job.owned.is_none() {
            return Poll::Ready(None);
        }
        // The server drops the body when the peer resets the stream or its connection ends.
        Poll::Pending
    }
}

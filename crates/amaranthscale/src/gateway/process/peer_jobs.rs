//! Jobs between gateways.
//!
//! A request carries the job's specification, and its response stays open as long as the results
//! are needed. A gateway that drops the response, ends or becomes unresponsive thereby ends the job
//! at its owner.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::JobSpec;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use log::warn;
use quick_error::quick_error;

use super::peer_message::{read_message, status_response};
use super::{GatewayContext, JobOutcome, JobSource, JobUpdate, RunningJob};
use crate::connection::{PeerClient, PeerError, ResponseBody};

/// Prefix of the path for submitting a job; the owner's id follows.
pub const JOB_PATH: &str = "/pieces/";
/// Maximum size of a job specification: some stages of some hundred bytes, and as much for each
/// retained result.
const MAX_SPEC_BYTES: usize = 256 * 1024;
/// Maximum size of an update, which may contain the handles of a whole request.
const MAX_UPDATE_BYTES: usize = 1024 * 1024;
/// Bytes of the length prefix of each update.
const LENGTH_BYTES: usize = 4;

quick_error! {
    /// Error of a job submitted to another gateway.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerJobError {
        /// No connection could be established.
        Unreachable(reason: String) {
            display("{reason}")
        }
        /// The connection ended before the outcome; the gateway itself may still run.
        ConnectionLost(reason: String) {
            display("{reason}")
        }
        /// The gateway does not respond: it or its connection is frozen or cut off.
        TimedOut {
            display("it fell silent")
        }
        /// Another incarnation is at the address.
        OtherIncarnation {
            display("another life is at its address")
        }
    }
}

/// Submits a job to another gateway; the results are retained while the returned body is open, and
/// updates are passed to `on_update`.
pub(super) async fn submit_to_peer(
    peers: &PeerClient,
    owner: &InstanceId,
    address: SocketAddr,
    spec: &JobSpec,
    on_update: impl FnMut(JobUpdate),
) -> Result<(JobOutcome, Incoming), PeerJobError> {
    let path = format!("{JOB_PATH}{owner}");
    let encoded = rmp_serde::to_vec_named(spec)
        .map_err(|error| PeerJobError::Unreachable(error.to_string()))?;
    let response = peers
        .post(address, &path, encoded)
        .await
        .map_err(|error| match error {
            PeerError::NotSent(..) => PeerJobError::Unreachable(error.to_string()),
            PeerError::Lost(..) => PeerJobError::ConnectionLost(error.to_string()),
            PeerError::TimedOut(..) => PeerJobError::TimedOut,
        })?;
    if response.status() != StatusCode::OK {
        return Err(PeerJobError::OtherIncarnation);
    }
    let mut body = response.into_body();
    let outcome = read_outcome(&mut body, on_update).await?;
    Ok((outcome, body))
}

async fn read_outcome(
    body: &mut Incoming,
    mut on_update: impl FnMut(JobUpdate),
) -> Result<JobOutcome, PeerJobError> {
    let mut read = BytesMut::new();
    loop {
        while let Some(update) = next_update(&mut read).map_err(PeerJobError::ConnectionLost)? {
            match update {
                JobUpdate::Ended(outcome) => return Ok(outcome),
                update => on_update(update),
            }
        }
        let ended = || PeerJobError::ConnectionLost("the answer ended early".to_owned());
        let frame = body.frame().await.ok_or_else(ended)?;
        let frame = frame.map_err(|error| {
            if error.is_timeout() {
                PeerJobError::TimedOut
            } else {
                PeerJobError::ConnectionLost(error.to_string())
            }
        })?;
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
}

/// Removes the next complete update from the bytes read so far.
fn next_update(read: &mut BytesMut) -> Result<Option<JobUpdate>, String> {
    if read.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let mut head = &read[..LENGTH_BYTES];
    let length = usize::try_from(head.get_u32()).map_err(|error| error.to_string())?;
    if length > MAX_UPDATE_BYTES {
        return Err(format!(
            "{length} bytes of news: at most {MAX_UPDATE_BYTES}"
        ));
    }
    if read.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let update = read.split_to(LENGTH_BYTES + length);
    let update =
        rmp_serde::from_slice(&update[LENGTH_BYTES..]).map_err(|error| error.to_string())?;
    Ok(Some(update))
}

fn encode_update(update: &JobUpdate) -> Bytes {
    // Encoding numbers, texts and lists of them cannot fail.
    let content = rmp_serde::to_vec_named(update).unwrap_or_default();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut framed = BytesMut::from(&length.to_be_bytes()[..]);
    framed.extend_from_slice(&content);
    framed.freeze()
}

/// Runs another gateway's job and responds with its updates.
///
/// A job for an earlier incarnation at this address is accepted only if this gateway is the owner
/// by its own view, as after a power failure. Otherwise its sender does not know yet that the
/// incarnation ended, and would make this gateway a second owner beside the one that other gateways
/// use.
pub(super) async fn serve_job(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(requested_id) = request.uri().path().strip_prefix(JOB_PATH) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let is_own_id = requested_id == context.instance.as_str();
    let spec: JobSpec = match read_message(request, MAX_SPEC_BYTES).await {
        Ok(spec) => spec,
        Err(reason) => {
            warn!(reason = reason.as_str(); "batches: invalid job from a peer");
            return status_response(StatusCode::BAD_REQUEST);
        }
    };
    if !is_own_id {
        let (.., is_owner) = context.cluster_view.owner(spec.cell);
        if !is_owner {
            return status_response(StatusCode::NOT_FOUND);
        }
        context.counters.count("owner.reached-by-address");
    }
    let job = context.batch_owners.submit(spec, JobSource::Peer).await;
    let body = JobUpdateBody {
        job,
        has_ended: false,
    };
    Response::new(body.boxed_unsync())
}

/// Response body with a job's updates, open while its results are needed.
struct JobUpdateBody {
    job: RunningJob,
    has_ended: bool,
}

impl Body for JobUpdateBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.has_ended {
            let Poll::Ready(update) = self.job.updates.poll_recv(context) else {
                return Poll::Pending;
            };
            // The channel ends without an outcome if the owner is stopping.
            let update = update.unwrap_or(JobUpdate::Ended(JobOutcome::Stopping));
            self.has_ended = matches!(update, JobUpdate::Ended(_));
            return Poll::Ready(Some(Ok(Frame::data(encode_update(&update)))));
        }
        if self.job.guard.is_none() {
            return Poll::Ready(None);
        }
        // The HTTP server drops the body when the peer resets the stream or its connection ends.
        Poll::Pending
    }
}

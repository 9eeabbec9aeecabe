//! One attempt at one sidecar, from dispatch to its outcome.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{AttemptId, Incarnation};
use amaranthscale_core::unit::{SidecarClock, TimeBudget};
use amaranthscale_core::wire::{
    self, Chunk, Dispatch, End, Fetch, Frame, Outcome, ResultDigest, Revoke, RevokeAnswer,
    RevokeReply, Stamp,
};
use bytes::{Bytes, BytesMut};
use hyper::Response;
use hyper::body::Incoming;
use log::debug;
use sha2::{Digest as _, Sha256};
use tokio::time::{Instant, sleep, timeout_at};

use crate::connection::{ConnectionNumber, FrameReader, PeerConnection, read_body};
use crate::entry::process::EntryContext;
use crate::process::ControlKind;

/// Maximum size of a reply to a revocation.
const MAX_REVOKE_REPLY_BYTES: usize = 64 * 1024;
/// Timeout for a revocation, unless the deadline is earlier.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Consecutive failures to reach a sidecar after which the outcome of its attempt is unknown.
/// For repeatable work one failure is enough, since it can be retried elsewhere.
const MAX_CONTACT_FAILURES: u32 = 3;
/// Pause after a sidecar could not be reached.
const CONTACT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The whole result was received.
    Complete(Bytes, Box<End>),
    /// It did not run and never will.
    NotRun(ResultCode, Option<u64>, Option<Box<Stamp>>),
    /// It ran and failed.
    Failed(Box<End>),
    /// The sidecar does not show whether it ran.
    Unknown,
    /// The deadline passed first.
    TimedOut,
}

/// Target sidecar and limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Destination {
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the sidecar that the attempt is meant for.
    pub incarnation: Incarnation,
    /// Expiry of the attempt on the sidecar's clock.
    pub expiry: SidecarClock,
    /// Whether the work may be repeated, and so cancelled.
    pub is_repeatable: bool,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Follows an attempt and receives its result.
///
/// Passes each chunk of the result to a function, once and in order, as it arrives.
pub struct AttemptRun<'a, F> {
    context: &'a EntryContext,
    destination: Destination,
    received: ReceivedResult,
    on_data: F,
}

/// The part of a result received so far.
#[derive(Debug, Default)]
struct ReceivedResult {
    next_chunk: u64,
    hasher: Sha256,
    result: BytesMut,
}

/// Reason why reading stopped before the end frame.
enum ReadFailure {
    ConnectionLost,
    DeadlinePassed,
}

/// Result of querying an attempt on one connection.
enum QueryResult {
    Ended(Box<End>),
    Revoked(Box<Stamp>),
    Indeterminate,
    TimedOut,
    LostDuringFetch,
    NoReply,
}

impl<'a, F: FnMut(&[u8]) + Send> AttemptRun<'a, F> {
    /// Prepares an attempt.
    pub fn new(context: &'a EntryContext, destination: Destination, on_data: F) -> Self {
        Self {
            context,
            destination,
            received: ReceivedResult::default(),
            on_data,
        }
    }

    /// Sends the attempt once and follows it to its end.
    pub async fn dispatch(mut self, dispatch: &Dispatch) -> AttemptOutcome {
        let connection = match self
            .context
            .peers
            .connection(self.destination.address)
            .await
        {
            Ok(connection) => connection,
            Err(error) => {
                debug!("entry: {} was not sent: {error}", self.destination.attempt);
                return AttemptOutcome::NotRun(ResultCode::NoBackendServer, None, None);
            }
        };
        let number = connection.number();
        self.context.counters.count("attempt.dispatched");
        let read = self
            .post_and_read(connection, "/attempt", wire::encode(dispatch))
            .await;
        self.conclude(read, number).await
    }

    /// Follows an attempt that was already sent, possibly by another entry.
    pub async fn follow(mut self) -> AttemptOutcome {
        let Ok(connection) = self
            .context
            .peers
            .connection(self.destination.address)
            .await
        else {
            return AttemptOutcome::Unknown;
        };
        let number = connection.number();
        let read = self.fetch(connection).await;
        self.conclude(read, number).await
    }

    async fn conclude(
        self,
        read: Result<Box<End>, ReadFailure>,
        number: ConnectionNumber,
    ) -> AttemptOutcome {
        match read {
            // If the network delivers a dispatch twice, the second delivery is refused while the
            // first may run. Treated as a refusal, the caller would be told "not run" although the
            // call ran, so the sidecar is asked for the outcome of the attempt.
            Ok(end) if end.outcome.code == ResultCode::DuplicateAttempt => {
                self.context.counters.count("attempt.doubled_delivery");
                self.query_after_loss(number).await
            }
            Ok(end) => self.into_outcome(end),
            Err(ReadFailure::DeadlinePassed) => {
                spawn_cancel(self.context, self.destination);
                AttemptOutcome::TimedOut
            }
            Err(ReadFailure::ConnectionLost) => {
                self.context.counters.count("attempt.connection_lost");
                self.query_after_loss(number).await
            }
        }
    }

    /// Queries, on a new connection, the outcome of an attempt whose connection was lost.
    ///
    /// Without this, a caller would see a failure although the work was done, or would pay twice
    /// for an attempt that was sent again. The new connection may be lost as well, so the query is
    /// retried until the deadline, or until the sidecar is unreachable several times in a row.
    async fn query_after_loss(mut self, lost: ConnectionNumber) -> AttemptOutcome {
        let (mut lost, mut contact_failures) = (lost, 0);
        let max_contact_failures = if self.destination.is_repeatable {
            1
        } else {
            MAX_CONTACT_FAILURES
        };
        while contact_failures < max_contact_failures && Instant::now() < self.destination.deadline
        {
            let address = self.destination.address;
            let connection = self
                .context
                .peers
                .connection_after(address, Some(lost))
                .await;
            let Ok(connection) = connection else {
                contact_failures += 1;
                sleep(CONTACT_RETRY_DELAY).await;
                continue;
            };
            lost = connection.number();
            match self.query_on(connection).await {
                QueryResult::Ended(end) => return self.into_outcome(end),
                QueryResult::Revoked(stamp) => {
                    return AttemptOutcome::NotRun(ResultCode::AttemptRevoked, None, Some(stamp));
                }
                QueryResult::Indeterminate => return AttemptOutcome::Unknown,
                QueryResult::TimedOut => {
                    spawn_cancel(self.context, self.destination);
                    return AttemptOutcome::TimedOut;
                }
                QueryResult::LostDuringFetch => contact_failures = 0,
                QueryResult::NoReply => contact_failures += 1,
            }
        }
        AttemptOutcome::Unknown
    }

    async fn query_on(&mut self, connection: PeerConnection) -> QueryResult {
        let revoke_deadline = self
            .destination
            .deadline
            .min(Instant::now() + REVOKE_TIMEOUT);
        let sending = send_revoke(self.context, self.destination, connection.clone(), false);
        let reply = timeout_at(revoke_deadline, sending).await.ok().flatten();
        match reply.map(|reply| (reply.answer, reply.stamp)) {
            None => QueryResult::NoReply,
            Some((RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation, _)) => {
                QueryResult::Indeterminate
            }
            Some((RevokeAnswer::Revoked, stamp)) => QueryResult::Revoked(Box::new(stamp)),
            Some((RevokeAnswer::Running | RevokeAnswer::Finished(_), _)) => {
                match self.fetch(connection).await {
                    Ok(end) => QueryResult::Ended(end),
                    Err(ReadFailure::DeadlinePassed) => QueryResult::TimedOut,
                    Err(ReadFailure::ConnectionLost) => QueryResult::LostDuringFetch,
                }
            }
        }
    }

    async fn fetch(&mut self, connection: PeerConnection) -> Result<Box<End>, ReadFailure> {
        let fetch = Fetch {
            attempt: self.destination.attempt,
            incarnation: self.destination.incarnation,
            from_chunk: self.received.next_chunk,
            budget: TimeBudget::new(
                self.destination
                    .deadline
                    .saturating_duration_since(Instant::now()),
            ),
        };
        self.post_and_read(connection, "/fetch", wire::encode(&fetch))
            .await
    }

    async fn post_and_read(
        &mut self,
        connection: PeerConnection,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Box<End>, ReadFailure> {
        let deadline = self.destination.deadline;
        let kind = match path {
            "/fetch" => ControlKind::Fetch,
            _ => ControlKind::Attempt,
        };
        self.context.peers.count(kind, body.len(), 0);
        let posted = timeout_at(deadline, connection.post(path, body)).await;
        let response = match posted {
            Err(_elapsed) => return Err(ReadFailure::DeadlinePassed),
            Ok(Err(_lost)) => return Err(ReadFailure::ConnectionLost),
            Ok(Ok(response)) => response,
        };
        match timeout_at(deadline, self.read(response)).await {
            Err(_elapsed) => Err(ReadFailure::DeadlinePassed),
            Ok(None) => Err(ReadFailure::ConnectionLost),
            Ok(Some(end)) => Ok(end),
        }
    }

    async fn read(&mut self, response: Response<Incoming>) -> Option<Box<End>> {
        let mut frames = FrameReader::new(response.into_body());
        loop {
            match frames.next().await {
                Ok(Frame::Chunk(chunk)) => self.accept_chunk(&chunk)?,
                Ok(Frame::End(end)) if end.attempt == self.destination.attempt => {
                    return Some(Box::new(end));
                }
                Ok(Frame::End(end)) => self.discard_foreign(end.attempt),
                Err(error) => {
                    debug!(
                        "entry: reading the answer of {} failed: {error}",
                        self.destination.attempt
                    );
                    return None;
                }
            }
        }
    }

    /// Accepts the next chunk in order; a gap is treated as a lost connection.
    fn accept_chunk(&mut self, chunk: &Chunk) -> Option<()> {
        if chunk.attempt != self.destination.attempt {
            self.discard_foreign(chunk.attempt);
            return Some(());
        }
        if chunk.sequence < self.received.next_chunk {
            self.context.counters.count("result.doubled_chunk");
            return Some(());
        }
        if chunk.sequence > self.received.next_chunk {
            self.context.counters.count("result.missing_chunk");
            return None;
        }
        self.received.append(&chunk.data);
        (self.on_data)(&chunk.data);
        Some(())
    }

    /// Drops a result that belongs to another request instead of passing it on.
    fn discard_foreign(&self, attempt: AttemptId) {
        debug!(
            "entry: dropped a result of {attempt} received for {}",
            self.destination.attempt
        );
        self.context.counters.count("result.foreign");
    }

    fn into_outcome(self, end: Box<End>) -> AttemptOutcome {
        let outcome = &end.outcome;
        match outcome.code.ran() {
            amaranthscale_core::Ran::No => AttemptOutcome::NotRun(
                outcome.code,
                outcome.retry_after_ms,
                Some(Box::new(end.stamp)),
            ),
            amaranthscale_core::Ran::Unknown => AttemptOutcome::Unknown,
            amaranthscale_core::Ran::Yes if outcome.code != ResultCode::Complete => {
                AttemptOutcome::Failed(end)
            }
            amaranthscale_core::Ran::Yes => {
                if self.received.matches(outcome, end.chunks) {
                    AttemptOutcome::Complete(self.received.result.freeze(), end)
                } else {
                    self.context.counters.count("result.corrupt");
                    AttemptOutcome::Unknown
                }
            }
        }
    }
}

impl ReceivedResult {
    fn append(&mut self, data: &[u8]) {
        self.next_chunk += 1;
        self.hasher.update(data);
        self.result.extend_from_slice(data);
    }

    fn matches(&self, outcome: &Outcome, chunks: u64) -> bool {
        let digest = ResultDigest::from_bytes(self.hasher.clone().finalize().into());
        chunks == self.next_chunk
            && outcome.length_bytes == self.result.len() as u64
            && outcome.digest == digest
    }
}

/// Asks the sidecar to cancel repeatable work that is no longer needed.
pub fn spawn_cancel(context: &EntryContext, destination: Destination) {
    if !destination.is_repeatable {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        let sending = async {
            let connection = context.peers.connection(destination.address).await.ok()?;
            send_revoke(&context, destination, connection, true).await
        };
        let _ = tokio::time::timeout(REVOKE_TIMEOUT, sending).await;
    });
}

async fn send_revoke(
    context: &EntryContext,
    destination: Destination,
    connection: PeerConnection,
    cancel_running: bool,
) -> Option<RevokeReply> {
    let revoke = Revoke {
        attempt: destination.attempt,
        incarnation: destination.incarnation,
        expiry: destination.expiry,
        cancel_running,
    };
    let message = wire::encode(&revoke);
    let sent_bytes = message.len();
    let response = connection.post("/revoke", message).await.ok()?;
    let body = read_body(response.into_body(), MAX_REVOKE_REPLY_BYTES, REVOKE_TIMEOUT);
    let body = body.await.ok()?;
    context
        .peers
        .count(ControlKind::Revoke, sent_bytes, body.len());
    wire::decode(body).ok()
}

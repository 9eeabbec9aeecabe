//! One attempt at one sidecar, from dispatch to what became of it.

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
use crate::entry::process::EntryParts;
use crate::process::ControlKind;

/// Longest answer to a revocation.
const MAX_REVOKE_REPLY_BYTES: usize = 64 * 1024;
/// Longest wait for an answer to a revocation, when the deadline leaves more.
const REVOKE_PATIENCE: Duration = Duration::from_secs(2);

/// Times in a row that a sidecar may be out of reach before its attempt counts as unknown.
/// Work that may be repeated is rather tried elsewhere at once.
const MAX_UNREACHED: u32 = 3;
/// Pause after a sidecar was out of reach.
const UNREACHED_PAUSE: Duration = Duration::from_millis(100);

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The whole result is here.
    Complete(Bytes, Box<End>),
    /// It did not run and never will.
    NotRun(ResultCode, Option<u64>, Option<Box<Stamp>>),
    /// It ran and failed.
    Failed(Box<End>),
    /// Whether it ran cannot be told from the sidecar.
    Unknown,
    /// The deadline came first.
    TimedOut,
}

/// Where an attempt goes.
#[derive(Debug, Clone, Copy)]
pub struct Destination {
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Attempt in question.
    pub attempt: AttemptId,
    /// Life of the sidecar that the attempt is meant for.
    pub incarnation: Incarnation,
    /// Expiry of the attempt on the sidecar's clock.
    pub expiry: SidecarClock,
    /// Whether the work may be repeated, and so cancelled.
    pub is_repeatable: bool,
    /// When the request's answer is due.
    pub due: Instant,
}

/// Runs attempts and takes their results in.
///
/// Takes each piece of a result to a function, once and in order, while it arrives.
pub struct AttemptRun<'a, F> {
    parts: &'a EntryParts,
    to: Destination,
    receipt: Receipt,
    on_data: F,
}

/// What has arrived of a result.
#[derive(Debug, Default)]
struct Receipt {
    next_chunk: u64,
    hasher: Sha256,
    result: BytesMut,
}

/// Why the reading of frames stopped without an end.
enum Broken {
    Connection,
    Deadline,
}

/// What asking about an attempt on one connection brought.
enum Asked {
    Ended(Box<End>),
    Revoked(Box<Stamp>),
    CannotTell,
    TimedOut,
    LostWhileFetching,
    LostAtOnce,
}

impl<'a, F: FnMut(&[u8]) + Send> AttemptRun<'a, F> {
    /// Prepares an attempt.
    pub fn new(parts: &'a EntryParts, to: Destination, on_data: F) -> Self {
        Self {
            parts,
            to,
            receipt: Receipt::default(),
            on_data,
        }
    }

    /// Sends the attempt, once, and follows it to its end.
    pub async fn dispatch(mut self, dispatch: &Dispatch) -> AttemptOutcome {
        let connection = match self.parts.peers.connection(self.to.address).await {
            Ok(connection) => connection,
            Err(error) => {
                debug!("entry: {} was not sent: {error}", self.to.attempt);
                return AttemptOutcome::NotRun(ResultCode::NoBackendServer, None, None);
            }
        };
        let number = connection.number();
        self.parts.counters.count("attempt.dispatched");
        let read = self
            .post_and_read(connection, "/attempt", wire::encode(dispatch))
            .await;
        self.conclude(read, number).await
    }

    /// Follows an attempt that was sent before, perhaps by another entry.
    pub async fn follow(mut self) -> AttemptOutcome {
        let Ok(connection) = self.parts.peers.connection(self.to.address).await else {
            return AttemptOutcome::Unknown;
        };
        let number = connection.number();
        let read = self.fetch(connection).await;
        self.conclude(read, number).await
    }

    async fn conclude(
        self,
        read: Result<Box<End>, Broken>,
        number: ConnectionNumber,
    ) -> AttemptOutcome {
        match read {
            // Guards against a dispatch that the network delivered twice: the second delivery is
            // refused, but the first may run. Taken for a refusal it would show as "not run" of
            // a call that ran; so the sidecar is asked what became of the attempt itself.
            Ok(end) if end.outcome.code == ResultCode::DuplicateAttempt => {
                self.parts.counters.count("attempt.doubled_delivery");
                self.ask_again(number).await
            }
            Ok(end) => self.into_outcome(end),
            Err(Broken::Deadline) => {
                give_up(self.parts, self.to);
                AttemptOutcome::TimedOut
            }
            Err(Broken::Connection) => {
                self.parts.counters.count("attempt.connection_lost");
                self.ask_again(number).await
            }
        }
    }

    /// Asks on a new connection what became of an attempt whose connection was lost.
    ///
    /// Guards against an answer lost between the two ends: a caller would see a failure though
    /// the work is done, or, if the attempt were sent anew, pay for it twice. A connection may be
    /// lost again while the sidecar is asked, so the question is repeated until the request is
    /// due, or the sidecar cannot be reached several times in a row.
    async fn ask_again(mut self, lost: ConnectionNumber) -> AttemptOutcome {
        let (mut lost, mut unreached) = (lost, 0);
        let max_unreached = if self.to.is_repeatable {
            1
        } else {
            MAX_UNREACHED
        };
        while unreached < max_unreached && Instant::now() < self.to.due {
            let address = self.to.address;
            let connection = self.parts.peers.connection_after(address, Some(lost)).await;
            let Ok(connection) = connection else {
                unreached += 1;
                sleep(UNREACHED_PAUSE).await;
                continue;
            };
            lost = connection.number();
            match self.ask_on(connection).await {
                Asked::Ended(end) => return self.into_outcome(end),
                Asked::Revoked(stamp) => {
                    return AttemptOutcome::NotRun(ResultCode::AttemptRevoked, None, Some(stamp));
                }
                Asked::CannotTell => return AttemptOutcome::Unknown,
                Asked::TimedOut => {
                    give_up(self.parts, self.to);
                    return AttemptOutcome::TimedOut;
                }
                Asked::LostWhileFetching => unreached = 0,
                Asked::LostAtOnce => unreached += 1,
            }
        }
        AttemptOutcome::Unknown
    }

    async fn ask_on(&mut self, connection: PeerConnection) -> Asked {
        let patience = self.to.due.min(Instant::now() + REVOKE_PATIENCE);
        let asking = ask_revoke(self.parts, self.to, connection.clone(), false);
        let reply = timeout_at(patience, asking).await.ok().flatten();
        match reply.map(|reply| (reply.answer, reply.stamp)) {
            None => Asked::LostAtOnce,
            Some((RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation, _)) => {
                Asked::CannotTell
            }
            Some((RevokeAnswer::Revoked, stamp)) => Asked::Revoked(Box::new(stamp)),
            Some((RevokeAnswer::Running | RevokeAnswer::Finished(_), _)) => {
                match self.fetch(connection).await {
                    Ok(end) => Asked::Ended(end),
                    Err(Broken::Deadline) => Asked::TimedOut,
                    Err(Broken::Connection) => Asked::LostWhileFetching,
                }
            }
        }
    }

    async fn fetch(&mut self, connection: PeerConnection) -> Result<Box<End>, Broken> {
        let fetch = Fetch {
            attempt: self.to.attempt,
            incarnation: self.to.incarnation,
            from_chunk: self.receipt.next_chunk,
            budget: TimeBudget::new(self.to.due.saturating_duration_since(Instant::now())),
        };
        self.post_and_read(connection, "/fetch", wire::encode(&fetch))
            .await
    }

    async fn post_and_read(
        &mut self,
        connection: PeerConnection,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Box<End>, Broken> {
        let due = self.to.due;
        let kind = match path {
            "/fetch" => ControlKind::Fetch,
            _ => ControlKind::Attempt,
        };
        self.parts.peers.count(kind, body.len(), 0);
        let posted = timeout_at(due, connection.post(path, body)).await;
        let response = match posted {
            Err(_elapsed) => return Err(Broken::Deadline),
            Ok(Err(_lost)) => return Err(Broken::Connection),
            Ok(Ok(response)) => response,
        };
        match timeout_at(due, self.read(response)).await {
            Err(_elapsed) => Err(Broken::Deadline),
            Ok(None) => Err(Broken::Connection),
            Ok(Some(end)) => Ok(end),
        }
    }

    async fn read(&mut self, response: Response<Incoming>) -> Option<Box<End>> {
        let mut frames = FrameReader::new(response.into_body());
        loop {
            match frames.next().await {
                Ok(Frame::Chunk(chunk)) => self.take_chunk(&chunk)?,
                Ok(Frame::End(end)) if end.attempt == self.to.attempt => {
                    return Some(Box::new(end));
                }
                Ok(Frame::End(end)) => self.drop_foreign(end.attempt),
                Err(error) => {
                    debug!("entry: the answer to {} broke: {error}", self.to.attempt);
                    return None;
                }
            }
        }
    }

    /// Takes a piece that is next in order; a gap counts as a lost connection.
    fn take_chunk(&mut self, chunk: &Chunk) -> Option<()> {
        if chunk.attempt != self.to.attempt {
            self.drop_foreign(chunk.attempt);
            return Some(());
        }
        if chunk.sequence < self.receipt.next_chunk {
            self.parts.counters.count("result.doubled_chunk");
            return Some(());
        }
        if chunk.sequence > self.receipt.next_chunk {
            self.parts.counters.count("result.missing_chunk");
            return None;
        }
        self.receipt.take(&chunk.data);
        (self.on_data)(&chunk.data);
        Some(())
    }

    /// Guards against a result that belongs to another request: it is dropped, never passed on.
    fn drop_foreign(&self, attempt: AttemptId) {
        debug!("entry: a result of {attempt} came for {}", self.to.attempt);
        self.parts.counters.count("result.foreign");
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
                if self.receipt.matches(outcome, end.chunks) {
                    AttemptOutcome::Complete(self.receipt.result.freeze(), end)
                } else {
                    self.parts.counters.count("result.corrupt");
                    AttemptOutcome::Unknown
                }
            }
        }
    }
}

impl Receipt {
    fn take(&mut self, data: &[u8]) {
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

/// Lets the sidecar end repeatable work that nobody waits for.
pub fn give_up(parts: &EntryParts, to: Destination) {
    if !to.is_repeatable {
        return;
    }
    let parts = parts.clone();
    tokio::spawn(async move {
        let asking = async {
            let connection = parts.peers.connection(to.address).await.ok()?;
            ask_revoke(&parts, to, connection, true).await
        };
        let _ = tokio::time::timeout(REVOKE_PATIENCE, asking).await;
    });
}

async fn ask_revoke(
    parts: &EntryParts,
    to: Destination,
    connection: PeerConnection,
    cancel_running: bool,
) -> Option<RevokeReply> {
    let revoke = Revoke {
        attempt: to.attempt,
        incarnation: to.incarnation,
        expiry: to.expiry,
        cancel_running,
    };
    let message = wire::encode(&revoke);
    let sent_bytes = message.len();
    let response = connection.post("/revoke", message).await.ok()?;
    let body = read_body(
        response.into_body(),
        MAX_REVOKE_REPLY_BYTES,
        REVOKE_PATIENCE,
    );
    let body = body.await.ok()?;
    parts
        .peers
        .count(ControlKind::Revoke, sent_bytes, body.len());
    wire::decode(body).ok()
}

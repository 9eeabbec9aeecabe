//! A sidecar with a fake backend server and a fake table, and an entry's calls to it.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale::connection::{FrameReader, PeerClient, PeerClientLimits, read_body};
use amaranthscale::process::PlatformClientLimits;
use amaranthscale::sidecar::{Sidecar, SidecarConfig, SidecarLimits, TreeSource};
use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{
    AttemptId, AttemptNumber, Incarnation, RequestId, RowVersion, StageIndex, TreeVersion,
};
use amaranthscale_core::process::FairQueueLimits;
use amaranthscale_core::unit::{Class, SidecarClock, TimeBudget, Weight};
use amaranthscale_core::wire::{
    self, CallFingerprint, ClaimKey, ClaimTicket, Dispatch, End, Fetch, Frame, Hello, ResultDigest,
    Revoke, RevokeAnswer, RevokeReply, Stamp,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{FakeBackend, FakeTable, with_timeout};

/// Timeout of calls; far longer than any test takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A sidecar with its fakes, and an entry's client.
#[derive(Debug)]
pub struct Fixture {
    pub table: FakeTable,
    pub backend: FakeBackend,
    pub sidecar: Sidecar,
    pub entry: PeerClient,
    pub stamp: Stamp,
}

/// An answer that was read to its end.
#[derive(Debug)]
pub struct CompleteAnswer {
    pub result: Vec<u8>,
    pub end: End,
}

impl CompleteAnswer {
    pub fn code(&self) -> ResultCode {
        self.end.outcome.code
    }
}

pub async fn fixture() -> Fixture {
    fixture_with(|_config| {}).await
}

/// A fixture whose sidecar has a modified configuration.
pub async fn fixture_with(modify: impl FnOnce(&mut SidecarConfig)) -> Fixture {
    let table = FakeTable::start().await;
    let backend = FakeBackend::start().await;
    let sidecar = start_sidecar(&table, backend.address(), modify).await;
    let entry = new_entry();
    let stamp = hello(&entry, sidecar.address()).await;
    Fixture {
        table,
        backend,
        sidecar,
        entry,
        stamp,
    }
}

pub async fn start_sidecar(
    table: &FakeTable,
    backend: SocketAddr,
    modify: impl FnOnce(&mut SidecarConfig),
) -> Sidecar {
    let mut config = SidecarConfig {
        host: "weighbridge-1".parse().unwrap(),
        service: "scalehouse".parse().unwrap(),
        listen: "127.0.0.1:0".parse().unwrap(),
        backend,
        platform: table.address(),
        statsd: None,
        orders: None,
        limits: limits(),
    };
    modify(&mut config);
    Sidecar::start(config, TreeSource::default()).await.unwrap()
}

fn limits() -> SidecarLimits {
    SidecarLimits {
        queue: FairQueueLimits {
            slots: 1,
            capacity: 8,
            paid_reserve_slots: 0,
        },
        claim_timeout: Duration::from_millis(400),
        platform: PlatformClientLimits {
            timeout: Duration::from_millis(150),
        },
        ..SidecarLimits::default()
    }
}

/// Ticket for the first claim of a row.
pub fn ticket() -> ClaimTicket {
    ClaimTicket {
        key: ClaimKey {
            organisation: "delta-basin".parse().unwrap(),
            key: "settle-17".parse().unwrap(),
            stage: StageIndex::new(0),
        },
        version: RowVersion::default(),
        fingerprint: CallFingerprint::of("/echo", "truck 17"),
    }
}

pub async fn hello(entry: &PeerClient, address: SocketAddr) -> Stamp {
    let hello = Hello {
        from: "entry-1".parse().unwrap(),
        tree_version: TreeVersion::default(),
    };
    post_message(entry, address, "/hello", &hello).await
}

async fn post_message<T: DeserializeOwned>(
    entry: &PeerClient,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> T {
    let response = entry.post(address, path, wire::encode(message)).await;
    let body = read_body(response.unwrap().into_body(), 1 << 20, TIMEOUT).await;
    wire::decode(body.unwrap()).unwrap()
}

impl Fixture {
    pub fn address(&self) -> SocketAddr {
        self.sidecar.address()
    }

    /// An attempt at a path of the backend server; each number is a different request.
    pub fn attempt(&self, number: u128, path: &str) -> Dispatch {
        Dispatch {
            attempt: AttemptId {
                request: RequestId::from_random_bits(number),
                stage: StageIndex::new(0),
                number: AttemptNumber::new(0),
            },
            incarnation: self.stamp.incarnation,
            expiry: self.stamp.clock.plus(TIMEOUT),
            budget: TimeBudget::new(TIMEOUT),
            organisation: "delta-basin".parse().unwrap(),
            class: Class::Paid,
            weight: Weight::DEFAULT,
            service: "scalehouse".parse().unwrap(),
            path: path.to_owned(),
            claim: None,
            resume_token: 0,
            tree_version: TreeVersion::default(),
            input: b"truck 17".to_vec(),
        }
    }

    /// An attempt whose call may not be repeated.
    pub fn claimed(&self, number: u128, path: &str) -> Dispatch {
        Dispatch {
            claim: Some(ticket()),
            ..self.attempt(number, path)
        }
    }

    /// Sends an attempt and returns the reader of its answer.
    pub async fn open(&self, dispatch: &Dispatch) -> FrameReader {
        open(&self.entry, self.address(), dispatch).await
    }

    /// Sends an attempt and reads its answer to the end.
    pub async fn run(&self, dispatch: &Dispatch) -> CompleteAnswer {
        read_to_end(self.open(dispatch).await, dispatch.attempt, 0).await
    }

    pub async fn revoke(&self, dispatch: &Dispatch, cancel_running: bool) -> RevokeAnswer {
        let revoke = Revoke {
            attempt: dispatch.attempt,
            incarnation: dispatch.incarnation,
            expiry: dispatch.expiry,
            cancel_running,
        };
        let reply: RevokeReply =
            post_message(&self.entry, self.address(), "/revoke", &revoke).await;
        reply.answer
    }

    /// Fetches an answer from a chunk on, on a new connection.
    pub async fn fetch(&self, dispatch: &Dispatch, from_chunk: u64) -> FrameReader {
        fetch(&new_entry(), self.address(), dispatch, from_chunk).await
    }

    pub async fn hello(&self) -> Stamp {
        hello(&self.entry, self.address()).await
    }

    /// Waits until the sidecar's clock has passed a reading.
    pub async fn wait_for_clock(&self, reading: SidecarClock) {
        while self.hello().await.clock <= reading {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the sidecar's stamp meets a condition.
    pub async fn wait_for_stamp(&self, is_wanted: impl Fn(&Stamp) -> bool) -> Stamp {
        loop {
            let stamp = self.hello().await;
            if is_wanted(&stamp) {
                return stamp;
            }
            tokio::task::yield_now().await;
        }
    }

    pub fn counter(&self, name: &str) -> u64 {
        let totals = self.sidecar.counters().totals();
        totals.get(name).copied().unwrap_or_default()
    }

    pub fn other_incarnation(&self) -> Incarnation {
        self.stamp.incarnation.next()
    }
}

/// Client of an entry without open connections.
pub fn new_entry() -> PeerClient {
    PeerClient::new(PeerClientLimits::default())
}

/// Fetches an answer from a chunk on.
pub async fn fetch(
    entry: &PeerClient,
    address: SocketAddr,
    dispatch: &Dispatch,
    from_chunk: u64,
) -> FrameReader {
    fetch_within(
        entry,
        address,
        dispatch,
        from_chunk,
        TimeBudget::new(TIMEOUT),
    )
    .await
}

/// Fetches an answer with a time budget.
pub async fn fetch_within(
    entry: &PeerClient,
    address: SocketAddr,
    dispatch: &Dispatch,
    from_chunk: u64,
    budget: TimeBudget,
) -> FrameReader {
    let fetch = Fetch {
        attempt: dispatch.attempt,
        incarnation: dispatch.incarnation,
        from_chunk,
        budget,
    };
    let response = entry.post(address, "/fetch", wire::encode(&fetch)).await;
    FrameReader::new(response.unwrap().into_body())
}

pub async fn open(entry: &PeerClient, address: SocketAddr, dispatch: &Dispatch) -> FrameReader {
    let response = entry
        .post(address, "/attempt", wire::encode(dispatch))
        .await;
    FrameReader::new(response.unwrap().into_body())
}

/// Reads an answer to its end with the checks that an entry makes.
pub async fn read_to_end(
    mut frames: FrameReader,
    attempt: AttemptId,
    from_chunk: u64,
) -> CompleteAnswer {
    let mut result = Vec::new();
    let mut next = from_chunk;
    loop {
        match with_timeout(frames.next()).await.unwrap() {
            Frame::Chunk(chunk) => {
                assert_eq!(chunk.attempt, attempt);
                assert_eq!(chunk.sequence, next);
                next += 1;
                result.extend(chunk.data);
            }
            Frame::End(end) => {
                assert_eq!(end.attempt, attempt);
                if end.outcome.code == ResultCode::Complete && from_chunk == 0 {
                    assert_eq!(end.chunks, next);
                    assert_eq!(end.outcome.digest, ResultDigest::of(&result));
                    assert_eq!(end.outcome.length_bytes, result.len() as u64);
                }
                return CompleteAnswer { result, end };
            }
        }
    }
}

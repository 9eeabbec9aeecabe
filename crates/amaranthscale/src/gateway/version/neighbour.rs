//! The gateway nearby that reads the store for this one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::StoreReader;
use bytes::Bytes;
use hyper::StatusCode;
use log::info;
use tokio::time::Instant;

use super::super::clock::ms;
use super::packed_row::MAX_CONTENT_BYTES;
use super::{ClusterView, HandedAnswer, HandedOn, HandedRows, RowsQuestion};
use crate::connection::{PeerClient, read_body_with_idle_timeout};
use crate::process::Counters;

/// Start of the path of a question for rows; the neighbour's name follows.
pub const ROWS_PATH: &str = "/rows/";
/// Time for the way to a neighbour and back, and for a turn of its processor.
const WAY: Duration = Duration::from_millis(300);
/// First time for which a neighbour that told nothing new is left out: until the list of gateways
/// tells of its end, or its own next call to the store has shown whether it reaches it.
const LEFT_OUT_FOR: Duration = Duration::from_secs(3);
/// Most doublings of that time, for one that fails again soon after it was tried again: each trial
/// of a reader that stays cut off costs a call to the store by each of its neighbours.
const MOST_DOUBLINGS: u32 = 3;
/// Largest answer: a long row that could not be made smaller, what is handed on beside it, and its framing.
const MOST_ANSWER_BYTES: usize = MAX_CONTENT_BYTES + 256 * 1024;

/// What a feed needs to ask a neighbour.
#[derive(Debug, Clone)]
pub struct Neighbours {
    /// Names the gateways nearby.
    pub cluster_view: Arc<ClusterView>,
    /// Connections to them.
    pub peers: Arc<PeerClient>,
    /// What this gateway hands on itself.
    pub handed_on: Arc<HandedOn>,
    /// Counts calls by how they were answered.
    pub counters: Arc<Counters>,
}

/// The neighbour that one feed asks.
#[derive(Debug)]
pub(super) struct Neighbour {
    with: Neighbours,
    feed: &'static str,
    left_out: BTreeMap<InstanceId, LeftOut>,
    reader: StoreReader,
}

/// A neighbour that told nothing new.
#[derive(Debug, Clone, Copy)]
struct LeftOut {
    until: Duration,
    doublings: u32,
}

impl LeftOut {
    /// How long it is left out this time.
    fn time(self) -> Duration {
        LEFT_OUT_FOR * (1 << self.doublings)
    }
}

impl Neighbour {
    pub(super) const fn new(with: Neighbours, feed: &'static str) -> Self {
        Self {
            with,
            feed,
            left_out: BTreeMap::new(),
            reader: StoreReader::Each,
        }
    }

    pub(super) fn with(&self) -> &Neighbours {
        &self.with
    }

    /// Whether this gateway reads the store for others.
    pub(super) fn reads_for_others(&self) -> bool {
        self.reader == StoreReader::This
    }

    /// The gateway to ask; none if this one asks the store itself.
    pub(super) fn choose(&mut self, is_lost: bool) -> Option<(InstanceId, SocketAddr)> {
        let now = self.with.cluster_view.clock().now();
        // Remembered for as long again, so that one that fails anew is left out for longer.
        self.left_out.retain(|_, out| out.until + out.time() > now);
        // Without the store itself, any neighbour may be the first to hear from it again.
        let is_left_out =
            |id: &InstanceId| !is_lost && self.left_out.get(id).is_some_and(|out| out.until > now);
        let reader = self.with.cluster_view.reader(is_left_out);
        if reader != self.reader {
            let through = match &reader {
                StoreReader::Other(id, _) => id.as_str(),
                StoreReader::This => "for-others",
                StoreReader::Each => "-",
            };
            info!(feed = self.feed, through; "store: followed");
            self.reader = reader.clone();
        }
        match reader {
            StoreReader::Other(id, address) => Some((id, address)),
            StoreReader::This | StoreReader::Each => None,
        }
    }

    /// Leaves a gateway out for a while.
    pub(super) fn leave_out(&mut self, id: InstanceId) {
        let now = self.with.cluster_view.clock().now();
        let before = self.left_out.get(&id);
        let doublings = before.map_or(0, |out| (out.doublings + 1).min(MOST_DOUBLINGS));
        let mut out = LeftOut {
            until: now,
            doublings,
        };
        out.until += out.time();
        self.left_out.insert(id, out);
    }

    /// Asks a gateway; what is not answered within its pace and the way there is given up, and so is an
    /// answer that falls silent on its way.
    pub(super) async fn ask(
        &self,
        id: &InstanceId,
        address: SocketAddr,
        question: RowsQuestion,
        pace: Duration,
    ) -> Result<HandedRows, String> {
        let table = question.table;
        let question = rmp_serde::to_vec_named(&question).map_err(|error| error.to_string())?;
        let path = format!("{ROWS_PATH}{id}");
        let asking = self.with.peers.post(address, &path, Bytes::from(question));
        let answer = tokio::time::timeout(pace + WAY, asking).await;
        let answer = answer.map_err(|_elapsed| "it told nothing new".to_owned())?;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("it answered {}", answer.status()));
        }
        let body = read_body_with_idle_timeout(answer.into_body(), MOST_ANSWER_BYTES, WAY).await;
        let body = body.map_err(|error| error.to_string())?;
        let answer: HandedAnswer =
            rmp_serde::from_slice(&body).map_err(|error| error.to_string())?;
        if answer.packed.is_empty() {
            return Ok(answer.told);
        }
        let started = Instant::now();
        let handed_on = Arc::clone(&self.with.handed_on);
        let unpacking = tokio::task::spawn_blocking(move || {
            answer.unpack(|key, version| handed_on.content(table, key, version))
        });
        let unpacked = unpacking.await.map_err(|error| error.to_string())?;
        let unpacked = unpacked.map_err(|error| error.to_string())?;
        let (bytes, unpack_ms) = (body.len(), ms(started.elapsed()));
        info!(feed = self.feed, bytes, unpack_ms; "store: long row unpacked");
        Ok(unpacked)
    }
}

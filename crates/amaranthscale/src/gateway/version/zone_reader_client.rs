//! Reads the store's tables from the zone reader: the gateway of the same zone that reads the store
//! for this one.

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
use super::{ClusterView, RelayAnswer, RelayedRows, RowsRequest, TableRelay};
use crate::connection::{PeerClient, read_body_with_idle_timeout};
use crate::process::Counters;

/// Prefix of the path for requesting rows; the answering gateway's id follows.
pub const ROWS_PATH: &str = "/rows/";
/// Time for the round trip to a gateway and for its processing.
const ROUND_TRIP_MARGIN: Duration = Duration::from_millis(300);
/// Initial time for which a zone reader that failed or had no newer rows is excluded. Within it,
/// the gateway is removed from the list of gateways if it ended, or its next call shows whether it
/// reaches the store.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of doublings of that time for one that fails again soon afterwards. Each attempt
/// at a zone reader that stays cut off costs a call to the store by each gateway of the zone.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum size of an answer: a long row that could not be compressed, the rows beside it and the
/// encoding.
const MAX_ANSWER_BYTES: usize = MAX_CONTENT_BYTES + 256 * 1024;

/// What a feed needs to read from the zone reader and to relay rows.
#[derive(Debug, Clone)]
pub struct RelayContext {
    /// Gateways of the same zone.
    pub cluster_view: Arc<ClusterView>,
    /// Connections to other gateways.
    pub peers: Arc<PeerClient>,
    /// Tables that this gateway relays.
    pub table_relay: Arc<TableRelay>,
    /// Counts calls by their result.
    pub counters: Arc<Counters>,
}

impl RelayContext {
    /// Requests rows from a gateway. Fails without an answer within `max_silence` and the round
    /// trip, or if the answer stalls.
    pub(super) async fn request_rows(
        &self,
        id: &InstanceId,
        address: SocketAddr,
        request: RowsRequest,
        max_silence: Duration,
    ) -> Result<RelayedRows, String> {
        let table = request.table;
        let request = rmp_serde::to_vec_named(&request).map_err(|error| error.to_string())?;
        let path = format!("{ROWS_PATH}{id}");
        let post = self.peers.post(address, &path, Bytes::from(request));
        let answer = tokio::time::timeout(max_silence + ROUND_TRIP_MARGIN, post).await;
        let answer = answer.map_err(|_elapsed| "it has no newer rows".to_owned())?;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("it answered {}", answer.status()));
        }
        let body =
            read_body_with_idle_timeout(answer.into_body(), MAX_ANSWER_BYTES, ROUND_TRIP_MARGIN)
                .await;
        let body = body.map_err(|error| error.to_string())?;
        let kind = format!("relay.received-bytes.{}", table.name());
        self.counters
            .add(&kind, u64::try_from(body.len()).unwrap_or(u64::MAX));
        let answer: RelayAnswer =
            rmp_serde::from_slice(&body).map_err(|error| error.to_string())?;
        if answer.packed.is_empty() {
            return Ok(answer.relayed);
        }
        let started = Instant::now();
        let table_relay = Arc::clone(&self.table_relay);
        let unpack_task = tokio::task::spawn_blocking(move || {
            answer.unpack(|key, version| table_relay.content(table, key, version))
        });
        let unpacked = unpack_task.await.map_err(|error| error.to_string())?;
        let unpacked = unpacked.map_err(|error| error.to_string())?;
        let (bytes, unpack_ms) = (body.len(), ms(started.elapsed()));
        info!(feed = table.name(), bytes, unpack_ms; "store: long row unpacked");
        Ok(unpacked)
    }
}

/// One feed's client of the zone reader.
#[derive(Debug)]
pub(super) struct ZoneReaderClient {
    context: RelayContext,
    feed: &'static str,
    excluded: BTreeMap<InstanceId, Exclusion>,
    reader: StoreReader,
    /// The reader in the last log line.
    logged_reader: StoreReader,
}

/// Exclusion of a zone reader that failed or had no newer rows.
#[derive(Debug, Clone, Copy)]
struct Exclusion {
    until: Duration,
    doublings: u32,
}

impl Exclusion {
    /// Duration of this exclusion.
    fn duration(self) -> Duration {
        EXCLUSION_TIME * (1 << self.doublings)
    }
}

impl ZoneReaderClient {
    pub(super) const fn new(context: RelayContext, feed: &'static str) -> Self {
        Self {
            context,
            feed,
            excluded: BTreeMap::new(),
            reader: StoreReader::Each,
            logged_reader: StoreReader::Each,
        }
    }

    pub(super) fn context(&self) -> &RelayContext {
        &self.context
    }

    /// Whether this gateway is the zone reader.
    pub(super) fn is_zone_reader(&self) -> bool {
        self.reader == StoreReader::This
    }

    /// Whether this gateway reads the store itself, for others or for itself only.
    pub(super) const fn reads_store(&self) -> bool {
        !matches!(self.reader, StoreReader::Other(..))
    }

    /// The gateway to read from; `None` if this one reads the store itself.
    pub(super) fn choose_reader(
        &mut self,
        is_store_unavailable: bool,
    ) -> Option<(InstanceId, SocketAddr)> {
        let now = self.context.cluster_view.clock().now();
        // Retained for as long again, so that a gateway that fails again is excluded for longer.
        self.excluded
            .retain(|_, exclusion| exclusion.until + exclusion.duration() > now);
        // While the store is unavailable, any gateway may be the first to reach it again.
        let is_excluded = |id: &InstanceId| {
            !is_store_unavailable
                && self
                    .excluded
                    .get(id)
                    .is_some_and(|exclusion| exclusion.until > now)
        };
        let reader = self.context.cluster_view.zone_reader(is_excluded);
        self.reader = reader.clone();
        match reader {
            StoreReader::Other(id, address) => Some((id, address)),
            StoreReader::This | StoreReader::Each => None,
        }
    }

    /// Logs the reader that an answer came through, if it is another one than before. Readers that
    /// were only tried are not logged: while the store turns gateways away, there are many.
    pub(super) fn log_reader(&mut self) {
        if self.reader == self.logged_reader {
            return;
        }
        let through = match &self.reader {
            StoreReader::Other(id, _) => id.as_str(),
            StoreReader::This => "for-others",
            StoreReader::Each => "-",
        };
        info!(feed = self.feed, through; "store: reader chosen");
        self.logged_reader = self.reader.clone();
    }

    /// Excludes a gateway for some time.
    pub(super) fn exclude(&mut self, id: InstanceId) {
        let now = self.context.cluster_view.clock().now();
        let before = self.excluded.get(&id);
        let doublings = before.map_or(0, |exclusion| (exclusion.doublings + 1).min(MAX_DOUBLINGS));
        let mut exclusion = Exclusion {
            until: now,
            doublings,
        };
        exclusion.until += exclusion.duration();
        self.excluded.insert(id, exclusion);
    }
}

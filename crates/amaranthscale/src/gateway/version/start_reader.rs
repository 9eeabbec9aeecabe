//! Reads a whole table from neighbours, as at a start.
//!
//! A neighbour that is starting as well answers once it has read the table. A neighbour that hangs
//! costs a bounded time, as several are asked and the store is read in the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion, StoreEra};
use log::{debug, info};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::{StoreRows, StoreTable};
use super::cluster_view::LIST_TIMEOUT;
use super::{ArrivalNotice, RelayContext, RelayedRows, RowsRequest};

/// Pause before a neighbour is asked again that was not reached, as it may be starting.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest wait for one answer; the plan ends the wait before that.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Interval at which it is checked whether any neighbour is still reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of a table that is read from neighbours.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownTable {
    /// Time of the store's clock that the table has to be newer than.
    pub(super) clock: Duration,
    /// Era of the store that the table has to be of, or of a later one.
    pub(super) era: StoreEra,
    /// Maximum age of the table.
    pub(super) max_age: Duration,
}

/// Reads a whole table that is newer than the known one; `None` if the store is to be read instead.
pub(super) async fn read_from_neighbours(
    context: &RelayContext,
    table: StoreTable,
    known: KnownTable,
) -> Option<StoreRows> {
    let plan = context.cluster_view.start_plan(LIST_TIMEOUT).await?;
    if plan.sources().is_empty() {
        return None;
    }
    let started = Instant::now();
    let reached = Arc::<AtomicUsize>::default();
    let failed = Arc::new(watch::Sender::new(0));
    let mut requests = JoinSet::new();
    for (index, (id, address)) in plan.sources().iter().enumerate() {
        let source = Source {
            context: context.clone(),
            table,
            known,
            id: id.clone(),
            address: *address,
            reached: Arc::clone(&reached),
            failed: Arc::clone(&failed),
        };
        let ask_after = plan.ask_after(index);
        let mut failed = failed.subscribe();
        requests.spawn(async move {
            // Earlier, if all before it have failed.
            let failed = failed.wait_for(|failed| *failed >= index);
            let _ = tokio::time::timeout(ask_after, failed).await;
            source.read().await
        });
    }
    let rows = loop {
        let waited = started.elapsed();
        let is_reached = reached.load(Ordering::Relaxed) > 0;
        let left = plan.store_after(is_reached).saturating_sub(waited);
        if left.is_zero() {
            break None;
        }
        tokio::select! {
            rows = first_answer(&mut requests) => break rows,
            () = tokio::time::sleep(left.min(CHECK_INTERVAL)) => {}
        }
    };
    let counter = if rows.is_some() {
        "start.from-neighbour"
    } else {
        "start.no-neighbour"
    };
    context.counters.count_reason(counter, table.name());
    info!(
        feed = table.name(), is_found = rows.is_some(), waited_ms = ms(started.elapsed());
        "store: neighbours asked for a whole table"
    );
    rows
}

/// The first rows that any request returns; `None` once all have failed.
async fn first_answer(requests: &mut JoinSet<Option<StoreRows>>) -> Option<StoreRows> {
    while let Some(ended) = requests.join_next().await {
        if let Ok(Some(rows)) = ended {
            return Some(rows);
        }
    }
    None
}

/// A neighbour that is asked.
struct Source {
    context: RelayContext,
    table: StoreTable,
    known: KnownTable,
    id: InstanceId,
    address: SocketAddr,
    /// Number of neighbours that were reached and have not failed.
    reached: Arc<AtomicUsize>,
    /// Number of neighbours that have failed once.
    failed: Arc<watch::Sender<usize>>,
}

impl Source {
    /// Asks until the neighbour answers; `None` if it has no rows to give.
    async fn read(self) -> Option<StoreRows> {
        let mut has_failed = false;
        loop {
            let failure = match self.ask().await {
                Ok(RelayedRows::All(rows)) if self.is_recent(&rows) => return Some(rows),
                Ok(_no_rows) => None,
                Err(reason) => Some(reason),
            };
            if !std::mem::replace(&mut has_failed, true) {
                self.failed.send_modify(|failed| *failed += 1);
            }
            let reason = failure?;
            debug!("store: {} gave no table: {reason}", self.id);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks once; the neighbour counts as reached while it has not answered.
    async fn ask(&self) -> Result<RelayedRows, String> {
        let connection = self.context.peers.connection(self.address).await;
        connection.map_err(|error| error.to_string())?;
        self.reached.fetch_add(1, Ordering::Relaxed);
        let answer = self.request().await;
        self.reached.fetch_sub(1, Ordering::Relaxed);
        answer
    }

    /// Whether rows are newer than those known here, and as recent as those that gateways pass on.
    ///
    /// A neighbour that was cut off from the store and has not noticed it yet has older ones, and so
    /// has one that has not read the store since it was restored.
    fn is_recent(&self, rows: &StoreRows) -> bool {
        let KnownTable {
            clock,
            era,
            max_age,
        } = self.known;
        let age = self.context.cluster_view.age_of(rows.clock);
        rows.clock > clock && rows.version.era() >= era && age.is_some_and(|age| age <= max_age)
    }

    async fn request(&self) -> Result<RelayedRows, String> {
        let request = RowsRequest {
            table: self.table,
            after: RowVersion::new(0),
            clock: self.known.clock,
            is_store_unavailable: false,
            known_rows: Vec::new(),
            takes_packed_table: true,
            waits_for_start: true,
            arrival_notice: ArrivalNotice::Unwanted,
        };
        self.context
            .request_rows(&self.id, self.address, request, MAX_SILENCE)
            .await
    }
}

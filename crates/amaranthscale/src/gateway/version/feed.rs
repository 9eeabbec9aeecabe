//! Follows one table of the store by long polls.
//!
//! A long poll delivers a change at once and costs one call a wait. Its connection may go silent
//! for good while new ones work, so each poll has its own time-out, after which a new connection
//! is opened. A history that is gone is answered by reading the whole table again.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::RowVersion;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use log::{debug, info};
use tokio::time::Instant;

use super::super::clock::ms;
use super::super::{StoreAnswer, StoreApi, StoreRow, StoreRows, StoreTable};
use super::cluster_view::SLOW_ANSWER;
use super::feed_pace::YOUNG;
use super::neighbour::Neighbour;
use super::{FeedPace, HandedRows, Neighbours, RowsQuestion};
use crate::connection::{Http1Connection, read_body_with_idle_timeout};

/// Longest wait for the answer to a call that does not wait for changes, and for more of an answer that
/// has begun to come.
const CALL_PATIENCE: Duration = Duration::from_millis(900);
/// Wait of the polls after a failed call and after a slow answer.
///
/// Guards against an outage that lasts longer than it did: a poll that waits for changes is answered
/// at its end, and until then keys stay too old though the store is back. Sent into the outage, it
/// would also be given up that much later. After an answer that was long on its way, too: what it told
/// is as old as that.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// Time within which an answer begins that did not wait for its change.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Largest answer of the store: a row with some sixty thousand routes, a small part of the least memory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Size from which an answer is decoded and a configuration read beside the requests, each with a line: a
/// millisecond's work.
pub(super) const LONG_BYTES: usize = 64 * 1024;

/// What a feed tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent {
    /// The whole table.
    All(StoreRows),
    /// Rows that changed since.
    Changed(StoreRows),
    /// The store did not answer, or refused.
    Lost(String),
}

/// Follows one table.
#[derive(Debug)]
pub struct Feed {
    table: StoreTable,
    store: StoreApi,
    pace: FeedPace,
    connection: Option<Http1Connection>,
    position: Option<RowVersion>,
    /// The store's clock as of which the table is known.
    clock: Duration,
    neighbour: Option<Neighbour>,
    /// Whether the last call to the store failed.
    is_lost: bool,
    /// Whether nothing came since the whole table.
    is_first: bool,
    /// When the last answer began to come, by a clock that goes on while the machine is suspended.
    heard_at: Duration,
    started: Instant,
}

impl Feed {
    /// A feed that starts with the whole table.
    #[must_use]
    pub fn new(table: StoreTable, store: StoreApi, pace: FeedPace) -> Self {
        Self {
            table,
            store,
            pace,
            connection: None,
            position: None,
            clock: Duration::ZERO,
            neighbour: None,
            is_lost: false,
            is_first: true,
            heard_at: Duration::ZERO,
            started: Instant::now(),
        }
    }

    /// Asks a neighbour in place of the store where one reads it for others, and hands on what it
    /// hears. The first answer is always the store's own: by it the later ones are dated.
    #[must_use]
    pub fn beside(mut self, neighbours: Neighbours) -> Self {
        self.neighbour = Some(Neighbour::new(neighbours, self.table.name()));
        self
    }

    /// When the answer that the last event came from began to come: it is no newer than that, however
    /// long the rest of it took.
    #[must_use]
    pub const fn heard_at(&self) -> Duration {
        self.heard_at
    }

    /// The next event; a failure is followed by a pause.
    pub async fn next(&mut self) -> FeedEvent {
        let event = self.read().await;
        self.is_lost = matches!(event, FeedEvent::Lost(_));
        self.is_first = matches!(event, FeedEvent::All(_));
        if let FeedEvent::All(rows) | FeedEvent::Changed(rows) = &event {
            self.clock = self.clock.max(rows.clock);
        }
        if let Some(neighbour) = &self.neighbour {
            neighbour.with().handed_on.note(self.table, &event);
        }
        event
    }

    async fn read(&mut self) -> FeedEvent {
        loop {
            if let Some(position) = self.position
                && let Some(event) = self.ask_neighbour(position).await
            {
                return event;
            }
            let event = match self.position {
                None => self.read_all().await.map(|rows| Some(FeedEvent::All(rows))),
                Some(position) => self.read_changes(position).await,
            };
            match event {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(reason) => {
                    self.connection = None;
                    if let Some(neighbour) = &self.neighbour {
                        neighbour.with().counters.count("store.calls-lost");
                    }
                    tokio::time::sleep(self.pace.after_failure).await;
                    return FeedEvent::Lost(reason);
                }
            }
        }
    }

    /// Asks the neighbour that reads the store for this gateway; none if the store is to be asked.
    ///
    /// A neighbour that fails, or has nothing newer to tell within the pace, is left out and the
    /// store asked at once. Where the store fails as well, the neighbour's word is waited for: when
    /// the store is back, one call of a zone tells all.
    async fn ask_neighbour(&mut self, position: RowVersion) -> Option<FeedEvent> {
        let is_lost = self.is_lost;
        let neighbour = self.neighbour.as_mut()?;
        let (id, address) = neighbour.choose(is_lost)?;
        self.connection = None;
        let question = RowsQuestion {
            table: self.table,
            after: position,
            clock: self.clock,
            is_lost,
            held: neighbour.with().handed_on.held(self.table),
        };
        let asked = neighbour.ask(&id, address, question, self.pace.handed_silence());
        let counters = Arc::clone(&neighbour.with().counters);
        let answered = asked.await;
        // Dated by the store's clock in it and by the store's own first answer.
        self.heard_at = neighbour.with().cluster_view.clock().now_with_suspend();
        let reason = match answered {
            Ok(HandedRows::All(rows)) if rows.clock > self.clock => {
                counters.count("store.handed");
                self.position = Some(rows.version);
                return Some(FeedEvent::All(rows));
            }
            Ok(HandedRows::Changed(rows)) if rows.clock > self.clock => {
                counters.count("store.handed");
                self.position = Some(rows.version.max(position));
                return Some(FeedEvent::Changed(rows));
            }
            Ok(HandedRows::Part(rows)) if rows.version > position => {
                counters.count("store.handed");
                self.position = Some(rows.version);
                return Some(FeedEvent::Changed(rows));
            }
            Ok(HandedRows::TooLarge) => {
                counters.count("store.too-large-to-hand-on");
                return None;
            }
            Ok(HandedRows::Lost) => "it has lost the store".to_owned(),
            Ok(_) => "it told nothing new".to_owned(),
            Err(reason) => reason,
        };
        counters.count("store.neighbour-lost");
        debug!(
            "store: {} through {id}: {reason}; asking by itself",
            self.table.name()
        );
        neighbour.leave_out(id);
        None
    }

    async fn read_all(&mut self) -> Result<StoreRows, String> {
        let mut first: Option<(StoreRows, Duration)> = None;
        let mut rows: Vec<StoreRow> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone());
            let request = (self.store.read)(self.table, after.as_deref());
            let mut page = match self.call(request, CALL_PATIENCE).await? {
                StoreAnswer::Rows(page) => page,
                other => return Err(format!("the store answered {other:?} to a read")),
            };
            let is_last = !page.is_truncated || page.rows.is_empty();
            rows.append(&mut page.rows);
            // Changes between two pages are told again by the feed: it goes on from the first page.
            let (first, heard_at) = first.get_or_insert((page, self.heard_at));
            if is_last {
                self.heard_at = *heard_at;
                self.position = Some(first.version);
                return Ok(StoreRows {
                    rows,
                    ..first.clone()
                });
            }
        }
    }

    async fn read_changes(&mut self, position: RowVersion) -> Result<Option<FeedEvent>, String> {
        let is_old = self.now().saturating_sub(self.heard_at) > SLOW_ANSWER;
        // A whole answer gives its connection back, so none is there only after a failed call.
        let wait = if self.connection.is_none() || is_old {
            SHORTEST_WAIT
        } else {
            let is_young = self.started.elapsed() < YOUNG;
            let between = if is_young {
                self.pace.between_young
            } else {
                self.pace.between
            };
            tokio::time::sleep(between).await;
            self.wait()
        };
        let request = (self.store.watch)(self.table, position, wait);
        let patience = wait + CALL_PATIENCE;
        match self.call(request, patience).await? {
            StoreAnswer::Rows(rows) => {
                self.position = Some(rows.version.max(position));
                Ok(Some(FeedEvent::Changed(rows)))
            }
            StoreAnswer::HistoryGone => {
                debug!(
                    "store: history of {:?} is gone; reading it whole",
                    self.table
                );
                self.position = None;
                Ok(None)
            }
            other => Err(format!("the store answered {other:?} to a watch")),
        }
    }

    /// Time of the clock that goes on while the machine is suspended; zero where nothing is dated.
    fn now(&self) -> Duration {
        let cluster_view = self.neighbour.as_ref().map(|one| &one.with().cluster_view);
        cluster_view.map_or(Duration::ZERO, |known| known.clock().now_with_suspend())
    }

    /// Longest wait of the next poll.
    fn wait(&self) -> Duration {
        let is_handed_on = self.neighbour.as_ref().is_some_and(|neighbour| {
            neighbour.reads_for_others() || neighbour.with().handed_on.is_asked(self.table)
        });
        // After the whole table, the list of gateways may just tell that others follow.
        if is_handed_on || self.is_first {
            self.pace.handed_wait
        } else {
            self.pace.wait
        }
    }

    async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<StoreAnswer, String> {
        if let Some(neighbour) = &self.neighbour {
            neighbour.with().counters.count("store.calls");
        }
        let connection = match self.connection.take().filter(Http1Connection::is_ready) {
            Some(connection) => connection,
            None => Http1Connection::open(self.store.address, CALL_PATIENCE)
                .await
                .map_err(|error| error.to_string())?,
        };
        let (asked_at, mut heard_at) = (self.now(), Duration::ZERO);
        let begun = |told_bytes: usize| {
            heard_at = self.now();
            // Zones' words are short, so a long answer holds a routing.
            if self.table == StoreTable::Routing
                && told_bytes > LONG_BYTES
                && let Some(neighbour) = &self.neighbour
            {
                let answered_at_once = heard_at.saturating_sub(asked_at) < AT_ONCE;
                neighbour
                    .with()
                    .cluster_view
                    .newer_has_begun(answered_at_once);
            }
        };
        let called = call_store(&self.store, connection, request, patience, begun).await;
        let (answer, connection) = called?;
        self.heard_at = heard_at;
        self.connection = Some(connection);
        Ok(answer)
    }
}

/// Sends one call; the connection comes back only after a whole answer. Calls a function as the answer
/// begins, with the bytes that its head tells.
///
/// The patience is with the beginning of the answer: once it comes, it is read for as long as more of it
/// does. An answer that is given up for its length would be begun anew by the next call, and never end.
pub(super) async fn call_store(
    store: &StoreApi,
    mut connection: Http1Connection,
    request: Request<Full<Bytes>>,
    patience: Duration,
    begun: impl FnOnce(usize),
) -> Result<(StoreAnswer, Http1Connection), String> {
    let response = tokio::time::timeout(patience, connection.send(request))
        .await
        .map_err(|_elapsed| format!("no answer within {} ms", patience.as_millis()))?
        .map_err(|error| error.to_string())?;
    let told_bytes = response.body().size_hint().lower();
    begun(usize::try_from(told_bytes).unwrap_or(usize::MAX));
    let status = response.status();
    let answered = Instant::now();
    let body = read_body_with_idle_timeout(response.into_body(), MAX_ANSWER_BYTES, CALL_PATIENCE)
        .await
        .map_err(|error| error.to_string())?;
    let transfer = answered.elapsed();
    let decode = store.parse_answer;
    let bytes = body.len();
    if bytes <= LONG_BYTES {
        return Ok((decode(status, &body)?, connection));
    }
    let received = Instant::now();
    let answer = tokio::task::spawn_blocking(move || decode(status, &body)).await;
    let (transfer_ms, decode_ms) = (ms(transfer), ms(received.elapsed()));
    info!(bytes, transfer_ms, decode_ms; "store: long answer read");
    Ok((answer.map_err(|error| error.to_string())??, connection))
}

//! Follows one table of the store by long polls.
//!
//! A long poll delivers a change at once and costs one call per wait. Its connection may hang
//! permanently while new ones work, so each poll has a timeout, after which a new connection is
//! opened. If the history since the last poll is no longer available, the whole table is read
//! again.
//!
//! A store that was restored from a copy begins a new era: it lacks what was written since the copy
//! and gives out the same versions again. A position of an earlier era is of no use there, even if
//! the store has a version with its number, so the whole table is read, and no gateway that still has
//! the earlier era's table is asked for it.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion, StoreEra};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use log::{debug, info};
use tokio::time::Instant;

use super::super::{StoreAnswer, StoreApi, StoreRow, StoreRows, StoreTable};
use super::cluster_view::SLOW_ANSWER_AGE;
use super::poll_timing::STARTUP_PERIOD;
use super::reader_requests::ReaderRequests;
use super::start_reader::{KnownTable, read_from_neighbours};
use super::store_call::{CALL_TIMEOUT, LONG_ANSWER_BYTES, call_store};
use super::zone_reader_client::ZoneReaderClient;
use super::{ArrivalNotice, PollTiming, RelayContext, RelayedRows, RowsRequest};
use crate::connection::Http1Connection;

/// Wait of the polls after a failed call and after a slow answer.
///
/// With a longer wait, an outage would last longer for callers than for the store: the poll is
/// answered only when its wait ends, and until then keys stay too old although the store is back. A
/// poll sent during the outage would also time out that much later. The same holds after a slow
/// answer, whose data is as old as the answer took.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Time within which an answer begins if the change existed before the poll.
const IMMEDIATE_ANSWER: Duration = Duration::from_millis(100);
/// Most zone readers that are asked one after the other.
const MAX_READERS_ASKED: usize = 4;
/// Time after the first request to a zone reader from which no other one is asked: the rest of the
/// bound is needed to read the store.
const MAX_READER_SEARCH: Duration = Duration::from_millis(300);
/// Most other gateways that are asked while rows arrive at the zone reader.
const MAX_OTHER_READERS: usize = 2;
/// Longest wait for the list of gateways after the store could not be reached for it. Until then
/// the other tables are not read from the store either.
const LIST_RETRY_TIME: Duration = Duration::from_secs(1);
/// An event of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent {
    /// The whole table.
    Snapshot(StoreRows),
    /// Rows that changed since the last event.
    Changes(StoreRows),
    /// The store did not answer or refused the call.
    Unavailable(String),
}

/// Rows that were read while they arrived at a reader.
#[derive(Debug)]
enum ArrivedRows {
    /// From another gateway.
    Relayed(RelayedRows),
    /// From the store.
    Stored(FeedEvent),
}

/// What an event contains of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    /// All of it.
    Snapshot,
    /// All of it, for the first time since the store was restored from a copy.
    Restoration,
    /// Changes or nothing.
    Other,
}

/// Follows one table.
#[derive(Debug)]
pub struct Feed {
    table: StoreTable,
    store: StoreApi,
    timing: PollTiming,
    connection: Option<Http1Connection>,
    position: Option<RowVersion>,
    /// Latest era of the store that is known here.
    era: StoreEra,
    /// The store's clock as of the last event.
    clock: Duration,
    reader_client: Option<ZoneReaderClient>,
    /// Whether the last call to the store failed.
    is_store_unavailable: bool,
    last_event: EventKind,
    /// Era of the last event with rows.
    event_era: Option<StoreEra>,
    /// Whether an event has told that the gateways are not listed.
    is_missing_list_told: bool,
    /// When the last answer began, by the clock that also counts while the host is suspended.
    received_at: Duration,
    started: Instant,
    /// When the last event was asked for.
    called_at: Instant,
}

impl Feed {
    /// Creates a feed, whose first event is the whole table.
    #[must_use]
    pub fn new(table: StoreTable, store: StoreApi, timing: PollTiming) -> Self {
        Self {
            table,
            store,
            timing,
            connection: None,
            position: None,
            era: StoreEra::default(),
            clock: Duration::ZERO,
            reader_client: None,
            is_store_unavailable: false,
            last_event: EventKind::Snapshot,
            event_era: None,
            is_missing_list_told: false,
            received_at: Duration::ZERO,
            started: Instant::now(),
            called_at: Instant::now(),
        }
    }

    /// Reads from other gateways in place of the store where it can, and relays events to them. The
    /// first answer of a process always comes from the store, as the age of later ones is computed
    /// from its clock.
    #[must_use]
    pub fn with_relay(mut self, relay_context: RelayContext) -> Self {
        self.reader_client = Some(ZoneReaderClient::new(relay_context, self.table.name()));
        self
    }

    /// When the answer of the last event began; its data is no newer than that, however long the
    /// rest of it took.
    #[must_use]
    pub const fn received_at(&self) -> Duration {
        self.received_at
    }

    /// Whether the last event is the whole table of a store that was restored from a copy, which lacks
    /// rows that were written since and are written again only later.
    #[must_use]
    pub const fn is_restored(&self) -> bool {
        matches!(self.last_event, EventKind::Restoration)
    }

    /// Whether this gateway reads the table from the store, and not through another one.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        let reader_client = self.reader_client.as_ref();
        reader_client.is_none_or(ZoneReaderClient::reads_store)
    }

    /// The next event; after a failure, following a pause.
    pub async fn next(&mut self) -> FeedEvent {
        let event = self.read().await;
        self.is_store_unavailable = matches!(event, FeedEvent::Unavailable(_));
        self.last_event = self.kind_of(&event);
        if let FeedEvent::Snapshot(rows) | FeedEvent::Changes(rows) = &event {
            self.clock = self.clock.max(rows.clock);
            self.event_era = Some(rows.version.era());
        }
        if let Some(reader_client) = &mut self.reader_client {
            reader_client
                .context()
                .table_relay
                .record(self.table, &event);
            if !self.is_store_unavailable {
                reader_client.log_reader();
            }
        }
        event
    }

    fn kind_of(&self, event: &FeedEvent) -> EventKind {
        let FeedEvent::Snapshot(rows) = event else {
            return EventKind::Other;
        };
        let era = rows.version.era();
        if self.event_era.is_some_and(|earlier| earlier < era) {
            EventKind::Restoration
        } else {
            EventKind::Snapshot
        }
    }

    async fn read(&mut self) -> FeedEvent {
        if self.is_store_unavailable {
            // A call that timed out has taken longer than the pause.
            tokio::time::sleep_until(self.called_at + self.timing.failure_pause).await;
        }
        self.called_at = Instant::now();
        if self.position.is_none() && self.is_list_missing().await {
            return FeedEvent::Unavailable("the gateways are not listed".to_owned());
        }
        loop {
            let relayed = match self.position {
                Some(position) => self.read_from_zone_reader(position).await,
                None => self.read_whole_from_neighbours().await,
            };
            if let Some(event) = relayed {
                return event;
            }
            let event = match self.position {
                None => self
                    .read_snapshot()
                    .await
                    .map(|rows| Some(FeedEvent::Snapshot(rows))),
                Some(position) => self.poll_changes(position).await,
            };
            match event {
                Ok(Some(event)) => return event,
                Ok(None) => {}
                Err(reason) => {
                    self.connection = None;
                    if let Some(reader_client) = &self.reader_client {
                        reader_client.context().counters.count("store.calls-lost");
                    }
                    return FeedEvent::Unavailable(reason);
                }
            }
        }
    }

    /// Whether the gateways could not be listed, so that other gateways are told at once not to wait
    /// for this one. Told once: after that, the list is waited for before the table is read.
    async fn is_list_missing(&mut self) -> bool {
        let Some(reader_client) = &self.reader_client else {
            return false;
        };
        let cluster_view = &reader_client.context().cluster_view;
        if self.table == StoreTable::Instances || !cluster_view.is_list_unavailable().await {
            return false;
        }
        if !std::mem::replace(&mut self.is_missing_list_told, true) {
            return true;
        }
        cluster_view.wait_until_listed(LIST_RETRY_TIME).await;
        false
    }

    /// Reads the whole table from neighbours; `None` if the store is to be read instead.
    async fn read_whole_from_neighbours(&mut self) -> Option<FeedEvent> {
        let context = self.reader_client.as_ref()?.context();
        // The neighbours are not known before the first read of this table.
        if self.table == StoreTable::Instances && !context.cluster_view.is_listed() {
            return None;
        }
        let max_age = self.timing.max_relay_silence() + CALL_TIMEOUT;
        let known = KnownTable {
            clock: self.clock,
            era: self.era,
            max_age,
        };
        let rows = read_from_neighbours(context, self.table, known).await?;
        self.record_era(rows.version.era());
        self.received_at = self.now();
        self.position = Some(rows.version);
        Some(FeedEvent::Snapshot(rows))
    }

    /// Reads from the zone reader; `None` if the store is to be read instead.
    ///
    /// A zone reader that fails at once, as one that the store turns away, is excluded and the next
    /// one asked. One that has nothing newer within the expected time is excluded and the store read
    /// at once. While the store is unavailable here too, the first reader's answer is waited for in
    /// the end: when the store is back, one call of the zone serves all its gateways.
    async fn read_from_zone_reader(&mut self, position: RowVersion) -> Option<FeedEvent> {
        let started = Instant::now();
        for _ in 0..MAX_READERS_ASKED {
            let Some((id, address)) = self.reader_client.as_mut()?.choose_reader(false) else {
                break;
            };
            if let Some(event) = self.read_from(id, address, position, false).await {
                return Some(event);
            }
            if started.elapsed() > MAX_READER_SEARCH {
                return None;
            }
        }
        if !self.is_store_unavailable {
            return None;
        }
        let (id, address) = self.reader_client.as_mut()?.choose_reader(true)?;
        self.read_from(id, address, position, true).await
    }

    /// Reads from a gateway, and excludes it if it has nothing newer.
    async fn read_from(
        &mut self,
        id: InstanceId,
        address: SocketAddr,
        position: RowVersion,
        waits_for_store: bool,
    ) -> Option<FeedEvent> {
        self.connection = None;
        let reader_client = self.reader_client.as_mut()?;
        let context = reader_client.context();
        let mut rows_request = RowsRequest {
            table: self.table,
            after: position,
            clock: self.clock,
            is_store_unavailable: waits_for_store,
            known_rows: context.table_relay.known_rows(self.table),
            takes_packed_table: true,
            waits_for_start: self.started.elapsed() < STARTUP_PERIOD,
            arrival_notice: if waits_for_store {
                ArrivalNotice::Unwanted
            } else {
                ArrivalNotice::Wanted
            },
        };
        let max_silence = self.timing.max_relay_silence();
        let mut requests = ReaderRequests::new(context.clone(), rows_request.clone(), max_silence);
        requests.ask(id.clone(), address);
        let newer = requests.next_newer().await;
        for failed in requests.take_failed() {
            reader_client.exclude(failed);
        }
        if newer != Some(RelayedRows::Arriving) {
            return self.accept_relayed(newer?, position);
        }
        reader_client
            .context()
            .cluster_view
            .mark_newer_routing(false);
        rows_request.arrival_notice = ArrivalNotice::Unwanted;
        // Longer than the others are waited for, as the reader is known to be receiving rows.
        let max_silence = max_silence.max(self.timing.arrival_wait * 4);
        let context = reader_client.context().clone();
        let mut requests = ReaderRequests::new(context, rows_request, max_silence);
        requests.ask(id.clone(), address);
        let newer = self.read_arriving(id, position, &mut requests).await?;
        match newer {
            ArrivedRows::Relayed(rows) => self.accept_relayed(rows, position),
            ArrivedRows::Stored(event) => Some(event),
        }
    }

    /// Reads rows that have begun to arrive at a reader, whose answer is being waited for.
    ///
    /// The reader's link may be slow. So other gateways are asked, one after the other, while the
    /// first answers may still come: each becomes the reader of those that ask it, and only it reads
    /// the store. Gateways that got nothing from any of them read the store at different times.
    async fn read_arriving(
        &mut self,
        first: InstanceId,
        position: RowVersion,
        requests: &mut ReaderRequests,
    ) -> Option<ArrivedRows> {
        let arrival_wait = self.timing.arrival_wait;
        let mut last_asked = first;
        for _ in 0..MAX_OTHER_READERS {
            let arrived = tokio::time::timeout(arrival_wait, requests.next_newer()).await;
            let reader_client = self.reader_client.as_mut()?;
            for failed in requests.take_failed() {
                reader_client.exclude(failed);
            }
            if let Ok(Some(rows)) = arrived {
                return Some(ArrivedRows::Relayed(rows));
            }
            if arrived.is_err() {
                debug!(
                    "store: {} arrives slowly at {last_asked}",
                    self.table.name()
                );
                reader_client.exclude(last_asked);
                reader_client.context().counters.count("store.slow-reader");
            }
            let Some((id, address)) = reader_client.choose_reader(false) else {
                return self.read_beside(position, requests).await;
            };
            requests.ask(id.clone(), address);
            last_asked = id;
        }
        let wait = arrival_wait.mul_f64(rand::random_range(0.0..1.0));
        if let Ok(Some(rows)) = tokio::time::timeout(wait, requests.next_newer()).await {
            return Some(ArrivedRows::Relayed(rows));
        }
        self.read_beside(position, requests).await
    }

    /// Polls the store while the answers of other gateways may still come; `None` if neither has
    /// newer rows.
    async fn read_beside(
        &mut self,
        position: RowVersion,
        requests: &mut ReaderRequests,
    ) -> Option<ArrivedRows> {
        tokio::select! {
            Some(rows) = requests.next_newer() => Some(ArrivedRows::Relayed(rows)),
            polled = self.poll_changes(position) => match polled {
                Ok(event) => event.map(ArrivedRows::Stored),
                Err(reason) => {
                    debug!("store: {} not read: {reason}", self.table.name());
                    requests.next_newer().await.map(ArrivedRows::Relayed)
                }
            },
        }
    }

    /// The event of an answer of another gateway.
    fn accept_relayed(&mut self, relayed: RelayedRows, position: RowVersion) -> Option<FeedEvent> {
        let context = self.reader_client.as_ref()?.context();
        let now = context.cluster_view.clock().now_with_suspend();
        let (clock, version, event) = match relayed {
            RelayedRows::All(rows) if rows.version.era() >= self.era => {
                (rows.clock, rows.version, FeedEvent::Snapshot(rows))
            }
            RelayedRows::Changed(rows) | RelayedRows::Part(rows)
                if rows.version.era() == position.era() =>
            {
                (
                    rows.clock,
                    rows.version.max(position),
                    FeedEvent::Changes(rows),
                )
            }
            _ => return None,
        };
        context.counters.count("store.handed");
        // A long answer of the store began to arrive at the reader long ago, and newer rows may
        // exist since.
        let age = context.cluster_view.age_of(clock).unwrap_or_default();
        self.received_at = now.saturating_sub(age);
        self.record_era(version.era());
        self.position = Some(version);
        Some(event)
    }

    async fn read_snapshot(&mut self) -> Result<StoreRows, String> {
        let mut first: Option<(StoreRows, Duration)> = None;
        let mut rows: Vec<StoreRow> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone());
            let request = (self.store.read)(self.table, after.as_deref());
            let mut page = match self.call("read", request, Duration::ZERO).await? {
                StoreAnswer::Rows(page) => page,
                other => return Err(format!("the store answered {other:?} to a read")),
            };
            let is_last = !page.is_truncated || page.rows.is_empty();
            rows.append(&mut page.rows);
            // The feed continues from the version of the first page, so that changes between two
            // pages are read again.
            let (first, received_at) = first.get_or_insert((page, self.received_at));
            if first.version.era() != self.era {
                return Err("the store was restored while a table was read".to_owned());
            }
            if is_last {
                self.received_at = *received_at;
                self.position = Some(first.version);
                return Ok(StoreRows {
                    rows,
                    ..first.clone()
                });
            }
        }
    }

    async fn poll_changes(&mut self, position: RowVersion) -> Result<Option<FeedEvent>, String> {
        let is_stale = self.now().saturating_sub(self.received_at) > SLOW_ANSWER_AGE;
        // A complete answer returns its connection, so there is none only after a failed call.
        let wait = if self.connection.is_none() || is_stale {
            MIN_WAIT
        } else {
            let is_starting = self.started.elapsed() < STARTUP_PERIOD;
            let interval = if is_starting {
                self.timing.startup_interval
            } else {
                self.timing.interval
            };
            tokio::time::sleep(interval).await;
            self.wait()
        };
        let request = (self.store.watch)(self.table, position, wait);
        match self.call("watch", request, wait).await? {
            StoreAnswer::Rows(rows) if rows.version.era() == position.era() => {
                self.position = Some(rows.version.max(position));
                Ok(Some(FeedEvent::Changes(rows)))
            }
            StoreAnswer::Rows(_) | StoreAnswer::HistoryGone(_) => {
                debug!(
                    "store: history of {:?} is no longer available; reading the whole table",
                    self.table
                );
                self.position = None;
                Ok(None)
            }
            other => Err(format!("the store answered {other:?} to a watch")),
        }
    }

    /// Records an era of the store, and logs a new one.
    fn record_era(&mut self, era: StoreEra) {
        if era <= self.era {
            return;
        }
        if let Some(position) = self.position {
            info!(
                feed = self.table.name(), era:% = era, earlier_era:% = position.era(),
                earlier_version = position.number();
                "store: restored from a copy"
            );
            if let Some(reader_client) = &self.reader_client {
                let counters = &reader_client.context().counters;
                counters.count_reason("store.restored", self.table.name());
            }
        }
        self.era = era;
    }

    /// Time of the clock that also counts while the host is suspended; zero without relay context.
    fn now(&self) -> Duration {
        let cluster_view = self
            .reader_client
            .as_ref()
            .map(|one| &one.context().cluster_view);
        cluster_view.map_or(Duration::ZERO, |view| view.clock().now_with_suspend())
    }

    /// Wait of the next poll.
    fn wait(&self) -> Duration {
        let is_relayed = self.reader_client.as_ref().is_some_and(|reader_client| {
            reader_client.is_zone_reader()
                || reader_client
                    .context()
                    .table_relay
                    .has_recent_requests(self.table)
        });
        // Right after the whole table was read, it is not known yet whether other gateways read
        // from this one.
        if is_relayed || self.last_event != EventKind::Other {
            self.timing.relay_wait
        } else {
            self.timing.wait
        }
    }

    /// Sends one call, for whose answer the store waits at most for a time.
    async fn call(
        &mut self,
        kind: &'static str,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<StoreAnswer, String> {
        if let Some(reader_client) = &self.reader_client {
            let counters = &reader_client.context().counters;
            counters.count("store.calls");
            counters.count_reason(&format!("store.calls.{kind}"), self.table.name());
        }
        let connection = match self.connection.take().filter(Http1Connection::is_ready) {
            Some(connection) => connection,
            None => Http1Connection::open(self.store.address, CALL_TIMEOUT)
                .await
                .map_err(|error| error.to_string())?,
        };
        let (sent_at, mut received_at) = (self.now(), Duration::ZERO);
        let on_begin = |content_length: usize| {
            received_at = self.now();
            // Rows of zones are short, so a long answer contains a routing.
            if self.table == StoreTable::Routing
                && content_length > LONG_ANSWER_BYTES
                && let Some(reader_client) = &self.reader_client
            {
                let latency = received_at.saturating_sub(sent_at);
                // Without a wait the change existed before, however busy the store is.
                let is_immediate = wait <= MIN_WAIT || latency < IMMEDIATE_ANSWER;
                let context = reader_client.context();
                context.cluster_view.mark_newer_routing(is_immediate);
                context.table_relay.mark_arriving(self.table);
            }
        };
        let timeout = wait + CALL_TIMEOUT;
        let result = call_store(&self.store, connection, request, timeout, on_begin).await;
        let (answer, connection) = result?;
        if let StoreAnswer::Rows(StoreRows { version, .. }) = &answer {
            self.record_era(version.era());
            if version.era() < self.era {
                return Err("the answer is from before the store was restored".to_owned());
            }
        }
        if let StoreAnswer::HistoryGone(era) = &answer {
            self.record_era(*era);
        }
        if let (StoreAnswer::Rows(rows), Some(reader_client)) = (&answer, &self.reader_client) {
            let cluster_view = &reader_client.context().cluster_view;
            cluster_view.record_store_clock(rows.clock, received_at);
        }
        self.received_at = received_at;
        self.connection = Some(connection);
        Ok(answer)
    }
}

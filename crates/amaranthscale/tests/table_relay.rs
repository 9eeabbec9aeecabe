//! Rows that a gateway relays to other gateways.

use std::time::Duration;

use amaranthscale::gateway::version::{
    ArrivalNotice, FeedEvent, KnownRow, PackedRow, RelayAnswer, RelayedRows, RowsRequest,
    TableRelay,
};
use amaranthscale::gateway::{StoreRow, StoreRows, StoreTable, StoredValue};
use amaranthscale_core::id::RowVersion;

const TABLE: StoreTable = StoreTable::Servers;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn row(key: &str, value: StoredValue, version: u64) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        value,
        version: RowVersion::new(version),
    }
}

fn rows(rows: Vec<StoreRow>, version: u64, clock: Duration) -> StoreRows {
    StoreRows {
        rows,
        version: RowVersion::new(version),
        clock,
        is_truncated: false,
    }
}

fn content(text: &str) -> StoredValue {
    StoredValue::Content(text.as_bytes().to_vec().into())
}

fn request(after: u64, clock: Duration) -> RowsRequest {
    RowsRequest {
        table: TABLE,
        after: RowVersion::new(after),
        clock,
        is_store_unavailable: false,
        known_rows: Vec::new(),
        takes_packed_table: false,
        waits_for_start: false,
        arrival_notice: ArrivalNotice::Unwanted,
    }
}

/// The rows of an answer without packed rows.
async fn relayed(table_relay: &TableRelay, request: RowsRequest) -> RelayedRows {
    let answer = table_relay.answer(request).await;
    assert!(answer.packed.is_empty());
    answer.relayed
}

fn with_one_row() -> TableRelay {
    let table_relay = TableRelay::default();
    let all = rows(vec![row("s1", content("one"), 3)], 5, ms(1_000));
    table_relay.record(TABLE, &FeedEvent::Snapshot(all));
    table_relay
}

/// A gateway with the same data waits for the store's next answer and receives it with the store's
/// clock, so that its data has the same age as if it had read the store.
#[tokio::test(start_paused = true)]
async fn the_stores_next_answer_is_relayed_with_its_clock() {
    let table_relay = with_one_row();
    let waiting = relayed(&table_relay, request(5, ms(1_000)));
    let dropped = row("s1", StoredValue::Dropped, 6);
    let recording = async {
        tokio::time::sleep(ms(700)).await;
        let changed = rows(vec![dropped.clone()], 6, ms(1_700));
        table_relay.record(TABLE, &FeedEvent::Changes(changed));
    };

    let (answer, ()) = tokio::join!(waiting, recording);

    let changed = rows(vec![dropped], 6, ms(1_700));
    assert_eq!(answer, RelayedRows::Changed(changed));
    assert!(table_relay.has_recent_requests(TABLE));
    assert!(!table_relay.has_recent_requests(StoreTable::Routing));
}

/// Only time has passed. That alone keeps keys accepted, so it must be relayed.
#[tokio::test(start_paused = true)]
async fn an_answer_without_changes_is_relayed() {
    let table_relay = with_one_row();
    let nothing = rows(Vec::new(), 5, ms(2_000));
    table_relay.record(TABLE, &FeedEvent::Changes(nothing.clone()));

    let answer = relayed(&table_relay, request(5, ms(1_000))).await;

    assert_eq!(answer, RelayedRows::Changed(nothing));
}

/// The requesting gateway has newer data, so it must not receive older rows.
#[tokio::test(start_paused = true)]
async fn a_gateway_with_newer_data_receives_nothing() {
    let table_relay = with_one_row();

    let waiting = table_relay.answer(request(9, ms(5_000)));

    assert!(tokio::time::timeout(ms(3_000), waiting).await.is_err());
}

/// The store no longer answers this gateway. Other gateways must learn that at once and read the
/// store themselves; one that cannot reach the store either waits here until the store is back.
#[tokio::test(start_paused = true)]
async fn other_gateways_learn_at_once_that_the_store_is_unavailable() {
    let table_relay = with_one_row();
    table_relay.record(TABLE, &FeedEvent::Unavailable("cut".to_owned()));

    assert_eq!(
        relayed(&table_relay, request(5, ms(1_000))).await,
        RelayedRows::StoreUnavailable
    );
    let cut_off_request = RowsRequest {
        is_store_unavailable: true,
        ..request(5, ms(1_000))
    };
    let waiting = relayed(&table_relay, cut_off_request);
    let back = async {
        tokio::time::sleep(ms(400)).await;
        let nothing = rows(Vec::new(), 5, ms(4_000));
        table_relay.record(TABLE, &FeedEvent::Changes(nothing));
    };
    let (answer, ()) = tokio::join!(waiting, back);

    assert!(matches!(answer, RelayedRows::Changed(_)));
}

/// A row that is too long to be relayed unpacked, in some version.
fn long(version: u64) -> StoreRow {
    let routes: Vec<_> = (0..40_000_u64)
        .map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_string())
        .collect();
    let text = format!("{version}: {}", routes.join(","));
    row("long", content(&text), version)
}

fn with_a_long_row() -> TableRelay {
    let table_relay = TableRelay::default();
    let all = rows(vec![long(3), row("s1", content("one"), 4)], 5, ms(1_000));
    table_relay.record(TABLE, &FeedEvent::Snapshot(all));
    table_relay
}

fn bytes_of(answer: &RelayAnswer) -> usize {
    let encoded = rmp_serde::to_vec_named(answer).expect("answers always have an encoding");
    encoded.len()
}

/// Unpacked, a configuration of thousands of routes would load each slow link of a zone.
#[tokio::test(start_paused = true)]
async fn a_long_row_is_relayed_packed() {
    let table_relay = with_a_long_row();

    let answer = table_relay.answer(request(2, ms(0))).await;

    assert!(bytes_of(&answer) < 500_000, "{}", bytes_of(&answer));
    let read = answer.unpack(|_, _| None).expect("it needs no base");
    let all = vec![long(3), row("s1", content("one"), 4)];
    assert_eq!(read, RelayedRows::All(rows(all, 5, ms(1_000))));
}

/// A change of one number must not cost every gateway the whole row.
#[tokio::test(start_paused = true)]
async fn a_long_row_is_packed_against_the_version_that_the_requester_has() {
    let table_relay = with_a_long_row();
    let requester = with_a_long_row();
    table_relay.answer(request(4, ms(0))).await;
    let changed = FeedEvent::Changes(rows(vec![long(9)], 9, ms(2_000)));
    table_relay.record(TABLE, &changed);

    let known_rows = requester.known_rows(TABLE);
    let answer = table_relay
        .answer(RowsRequest {
            known_rows: known_rows.clone(),
            ..request(5, ms(1_000))
        })
        .await;

    let expected = KnownRow {
        key: "long".to_owned(),
        version: RowVersion::new(3),
    };
    assert_eq!(known_rows, [expected]);
    assert!(bytes_of(&answer) < 2_000, "{}", bytes_of(&answer));
    let read = answer.unpack(|key, version| requester.content(TABLE, key, version));
    assert_eq!(
        read.expect("the requester has the base"),
        RelayedRows::Changed(rows(vec![long(9)], 9, ms(2_000)))
    );
}

/// The relaying gateway no longer has the requester's version, so it cannot pack against it.
#[tokio::test(start_paused = true)]
async fn a_long_row_is_sent_whole_if_the_requesters_version_is_unknown() {
    let table_relay = with_a_long_row();
    let known_rows = vec![KnownRow {
        key: "long".to_owned(),
        version: RowVersion::new(2),
    }];

    let answer = table_relay
        .answer(RowsRequest {
            known_rows,
            ..request(2, ms(0))
        })
        .await;

    let read = answer.unpack(|_, _| None).expect("it needs no base");
    assert!(matches!(read, RelayedRows::All(rows) if rows.rows[0] == long(3)));
}

/// A whole table of servers would delay other answers on a slow link.
#[tokio::test(start_paused = true)]
async fn a_whole_table_of_many_rows_is_not_relayed() {
    let table_relay = TableRelay::default();
    let many =
        (1..2_001).map(|version| row(&format!("s{version}"), content(&"x".repeat(250)), version));
    let all = rows(many.collect(), 2_001, ms(2_000));
    table_relay.record(TABLE, &FeedEvent::Snapshot(all));

    assert_eq!(
        relayed(&table_relay, request(5, ms(1_000))).await,
        RelayedRows::TooLarge
    );
    let later = relayed(&table_relay, request(2_001, ms(1_000))).await;
    assert!(matches!(later, RelayedRows::Changed(rows) if rows.rows.is_empty()));
}

/// A request for a whole table, packed if it is long.
fn packed_request() -> RowsRequest {
    RowsRequest {
        takes_packed_table: true,
        ..request(0, ms(0))
    }
}

fn many_servers() -> StoreRows {
    let many = (1..2_001).map(|version| {
        row(
            &format!("s{version:04}"),
            content(&"x".repeat(250)),
            version,
        )
    });
    rows(many.collect(), 2_001, ms(2_000))
}

/// Hundreds of gateways start together. Each of them gets the whole table of servers from one that
/// has read it, packed as one, and not from the store.
#[tokio::test(start_paused = true)]
async fn a_whole_table_of_many_rows_is_relayed_packed() {
    let table_relay = TableRelay::default();
    table_relay.record(TABLE, &FeedEvent::Snapshot(many_servers()));

    let answer = table_relay.answer(packed_request()).await;

    assert!(bytes_of(&answer) < 50_000, "{}", bytes_of(&answer));
    let read = answer.unpack(|_, _| None);
    assert_eq!(
        read.expect("it was just packed"),
        RelayedRows::All(many_servers())
    );
}

/// A torn or foreign answer in place of a packed table is an error, and no rows are taken from it.
#[tokio::test(start_paused = true)]
async fn a_torn_packed_table_is_an_error() {
    let table_relay = TableRelay::default();
    table_relay.record(TABLE, &FeedEvent::Snapshot(many_servers()));
    let answer = table_relay.answer(packed_request()).await;

    let without_content = RelayAnswer {
        packed: Vec::new(),
        ..answer.clone()
    };
    let foreign = PackedRow::pack("", b"no rows", None).expect("memory suffices");
    let with_foreign_content = RelayAnswer {
        packed: vec![foreign],
        ..answer
    };

    assert!(without_content.unpack(|_, _| None).is_err());
    assert!(with_foreign_content.unpack(|_, _| None).is_err());
}

/// Two gateways start together, and one of them asks the other, which is still reading the table:
/// it must wait for it. If the other cannot reach the store, it must hear that at once.
#[tokio::test(start_paused = true)]
async fn a_starting_gateway_waits_for_one_that_is_reading_the_table() {
    let (reads, fails) = (TableRelay::default(), TableRelay::default());

    let start_request = RowsRequest {
        waits_for_start: true,
        ..request(0, ms(0))
    };

    let waiting = relayed(&reads, start_request.clone());
    let reading = async {
        tokio::time::sleep(ms(400)).await;
        let all = rows(vec![row("s1", content("one"), 3)], 5, ms(1_000));
        reads.record(TABLE, &FeedEvent::Snapshot(all));
    };
    let (answer, ()) = tokio::join!(waiting, reading);
    fails.record(TABLE, &FeedEvent::Unavailable("cut".to_owned()));

    assert!(matches!(answer, RelayedRows::All(_)));
    assert_eq!(
        relayed(&fails, start_request).await,
        RelayedRows::StoreUnavailable
    );
}

/// A long answer of the store arrives slowly at the reader. The gateways that wait for its rows must
/// learn that they exist, so that they can ask others; once the rows are there, they are relayed.
#[tokio::test(start_paused = true)]
async fn rows_that_begin_to_arrive_are_announced_until_they_are_relayed() {
    let table_relay = with_one_row();
    let with_notice = RowsRequest {
        arrival_notice: ArrivalNotice::Wanted,
        ..request(5, ms(1_000))
    };
    let waiting = relayed(&table_relay, with_notice.clone());
    let arriving = async {
        tokio::time::sleep(ms(300)).await;
        table_relay.mark_arriving(TABLE);
    };
    let (told, ()) = tokio::join!(waiting, arriving);
    let later = relayed(&table_relay, request(5, ms(1_000)));
    let arrived = async {
        tokio::time::sleep(ms(2_000)).await;
        let changed = rows(vec![row("s2", content("two"), 6)], 6, ms(1_300));
        table_relay.record(TABLE, &FeedEvent::Changes(changed));
    };
    let (answer, ()) = tokio::join!(later, arrived);

    assert_eq!(told, RelayedRows::Arriving);
    assert!(matches!(answer, RelayedRows::Changed(rows) if rows.rows.len() == 1));
    let next = RowsRequest {
        arrival_notice: ArrivalNotice::Wanted,
        ..request(6, ms(1_300))
    };
    let waiting = table_relay.answer(next);
    assert!(tokio::time::timeout(ms(3_000), waiting).await.is_err());
}

/// A gateway that has no answer of the store yet has nothing to relay.
#[tokio::test(start_paused = true)]
async fn nothing_is_relayed_before_the_first_answer() {
    let table_relay = TableRelay::default();

    assert_eq!(
        relayed(&table_relay, request(5, ms(1_000))).await,
        RelayedRows::StoreUnavailable
    );
}

/// Another writer's invalid row is relayed as it was read, so that both gateways refuse it.
#[test]
fn encoding_preserves_rows() {
    let odd = StoredValue::Unreadable("no base64".to_owned());
    let all = vec![
        row("a", content("x"), 1),
        row("b", odd, 2),
        row("c", StoredValue::Dropped, 3),
    ];
    let answer = RelayedRows::All(rows(all, 3, Duration::from_micros(1_234_567)));

    let encoded = rmp_serde::to_vec_named(&answer).expect("rows always have an encoding");

    let read: RelayedRows = rmp_serde::from_slice(&encoded).expect("just encoded");
    assert_eq!(read, answer);
}

/// Thousands of servers announce themselves within a second. Sent at once, their rows would delay
/// other answers; read from the store by each gateway, their bytes would be the largest cost of
/// all. They are sent in parts, none is missing, and the data counts as newer only after the last
/// part.
#[tokio::test(start_paused = true)]
async fn many_rows_are_relayed_in_parts() {
    let table_relay = with_one_row();
    let many =
        (6..2_006).map(|version| row(&format!("s{version}"), content(&"x".repeat(250)), version));
    // Two rows of one write stay together.
    let twin = row("twin", content("x"), 1_000);
    let many = many.chain([twin]);
    table_relay.record(
        TABLE,
        &FeedEvent::Changes(rows(many.collect(), 2_005, ms(2_000))),
    );

    let (mut after, mut read, mut parts) = (5, Vec::new(), 0);
    let last = loop {
        match relayed(&table_relay, request(after, ms(1_000))).await {
            RelayedRows::Part(part) => {
                assert_eq!(part.clock, ms(1_000));
                assert!(part.version.get() > after);
                after = part.version.get();
                read.extend(part.rows);
                parts += 1;
            }
            RelayedRows::Changed(last) => break last,
            other => panic!("{other:?}"),
        }
    };
    read.extend(last.rows);

    assert!(parts >= 7, "{parts} parts");
    assert_eq!((last.version.get(), last.clock), (2_005, ms(2_000)));
    let mut keys: Vec<_> = read.iter().map(|row| row.key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    assert_eq!((read.len(), keys.len()), (2_001, 2_001));
}

//! What a gateway hands on to its neighbours.

use std::time::Duration;

use amaranthscale::gateway::version::{
    FeedEvent, HandedAnswer, HandedOn, HandedRows, HeldRow, RowsQuestion,
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

fn question(after: u64, clock: Duration) -> RowsQuestion {
    RowsQuestion {
        table: TABLE,
        after: RowVersion::new(after),
        clock,
        is_lost: false,
        held: Vec::new(),
    }
}

/// What a question is told that no long row is part of.
async fn told(handed_on: &HandedOn, question: RowsQuestion) -> HandedRows {
    let answer = handed_on.answer(question).await;
    assert!(answer.packed.is_empty());
    answer.told
}

fn with_one_row() -> HandedOn {
    let handed_on = HandedOn::default();
    let all = rows(vec![row("s1", content("one"), 3)], 5, ms(1_000));
    handed_on.note(TABLE, &FeedEvent::All(all));
    handed_on
}

/// A neighbour that knows as much waits for the store's next word, and gets it with the store's own
/// clock: what it knows is as old as if it had asked the store.
#[tokio::test(start_paused = true)]
async fn the_stores_next_word_is_handed_on_with_its_clock() {
    let handed_on = with_one_row();
    let waiting = told(&handed_on, question(5, ms(1_000)));
    let gone = row("s1", StoredValue::Dropped, 6);
    let telling = async {
        tokio::time::sleep(ms(700)).await;
        let changed = rows(vec![gone.clone()], 6, ms(1_700));
        handed_on.note(TABLE, &FeedEvent::Changed(changed));
    };

    let (answer, ()) = tokio::join!(waiting, telling);

    let changed = rows(vec![gone], 6, ms(1_700));
    assert_eq!(answer, HandedRows::Changed(changed));
    assert!(handed_on.is_asked(TABLE));
    assert!(!handed_on.is_asked(StoreTable::Routing));
}

/// Nothing but the time has passed: that alone keeps keys believed, and must be told.
#[tokio::test(start_paused = true)]
async fn a_word_without_news_is_handed_on_too() {
    let handed_on = with_one_row();
    let nothing = rows(Vec::new(), 5, ms(2_000));
    handed_on.note(TABLE, &FeedEvent::Changed(nothing.clone()));

    let answer = told(&handed_on, question(5, ms(1_000))).await;

    assert_eq!(answer, HandedRows::Changed(nothing));
}

/// The one who asks has heard more than this gateway: old rows must not reach it.
#[tokio::test(start_paused = true)]
async fn who_knows_more_is_told_nothing() {
    let handed_on = with_one_row();

    let waiting = handed_on.answer(question(9, ms(5_000)));

    assert!(tokio::time::timeout(ms(3_000), waiting).await.is_err());
}

/// The store does not answer this gateway any more. Its neighbours must hear so at once and ask by
/// themselves; one that did so in vain waits here for the store's return.
#[tokio::test(start_paused = true)]
async fn neighbours_hear_at_once_that_the_store_is_lost() {
    let handed_on = with_one_row();
    handed_on.note(TABLE, &FeedEvent::Lost("cut".to_owned()));

    assert_eq!(
        told(&handed_on, question(5, ms(1_000))).await,
        HandedRows::Lost
    );
    let lost = RowsQuestion {
        is_lost: true,
        ..question(5, ms(1_000))
    };
    let waiting = told(&handed_on, lost);
    let back = async {
        tokio::time::sleep(ms(400)).await;
        let nothing = rows(Vec::new(), 5, ms(4_000));
        handed_on.note(TABLE, &FeedEvent::Changed(nothing));
    };
    let (answer, ()) = tokio::join!(waiting, back);

    assert!(matches!(answer, HandedRows::Changed(_)));
}

/// A row too long to be handed on as it is, in some version.
fn long(version: u64) -> StoreRow {
    let routes: Vec<_> = (0..40_000_u64)
        .map(|number| number.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_string())
        .collect();
    let text = format!("{version}: {}", routes.join(","));
    row("long", content(&text), version)
}

fn with_a_long_row() -> HandedOn {
    let handed_on = HandedOn::default();
    let all = rows(vec![long(3), row("s1", content("one"), 4)], 5, ms(1_000));
    handed_on.note(TABLE, &FeedEvent::All(all));
    handed_on
}

fn bytes_of(answer: &HandedAnswer) -> usize {
    let encoded = rmp_serde::to_vec_named(answer).expect("answers always have an encoding");
    encoded.len()
}

/// Guards against a zone whose slow links each carry a whole configuration of thousands of routes.
#[tokio::test(start_paused = true)]
async fn a_long_row_is_handed_on_packed() {
    let handed_on = with_a_long_row();

    let answer = handed_on.answer(question(2, ms(0))).await;

    assert!(bytes_of(&answer) < 500_000, "{}", bytes_of(&answer));
    let read = answer.unpack(|_, _| None).expect("it needs no base");
    let all = vec![long(3), row("s1", content("one"), 4)];
    assert_eq!(read, HandedRows::All(rows(all, 5, ms(1_000))));
}

/// Guards against a change of one number that costs every neighbour the whole row.
#[tokio::test(start_paused = true)]
async fn a_long_row_is_told_by_its_difference_to_the_version_that_is_held() {
    let handed_on = with_a_long_row();
    let asker = with_a_long_row();
    handed_on.answer(question(4, ms(0))).await;
    let changed = FeedEvent::Changed(rows(vec![long(9)], 9, ms(2_000)));
    handed_on.note(TABLE, &changed);

    let held = asker.held(TABLE);
    let answer = handed_on
        .answer(RowsQuestion {
            held: held.clone(),
            ..question(5, ms(1_000))
        })
        .await;

    let expected = HeldRow {
        key: "long".to_owned(),
        version: RowVersion::new(3),
    };
    assert_eq!(held, [expected]);
    assert!(bytes_of(&answer) < 2_000, "{}", bytes_of(&answer));
    let read = answer.unpack(|key, version| asker.content(TABLE, key, version));
    assert_eq!(
        read.expect("the base is held"),
        HandedRows::Changed(rows(vec![long(9)], 9, ms(2_000)))
    );
}

/// Guards against a difference to a version that the one who hands it on has forgotten.
#[tokio::test(start_paused = true)]
async fn a_long_row_goes_whole_to_one_who_holds_a_forgotten_version() {
    let handed_on = with_a_long_row();
    let held = vec![HeldRow {
        key: "long".to_owned(),
        version: RowVersion::new(2),
    }];

    let answer = handed_on
        .answer(RowsQuestion {
            held,
            ..question(2, ms(0))
        })
        .await;

    let read = answer.unpack(|_, _| None).expect("it needs no base");
    assert!(matches!(read, HandedRows::All(rows) if rows.rows[0] == long(3)));
}

/// Guards against a whole table of servers that holds up the neighbours of a slow link.
#[tokio::test(start_paused = true)]
async fn a_whole_table_of_many_rows_is_not_handed_on() {
    let handed_on = HandedOn::default();
    let many =
        (1..2_001).map(|version| row(&format!("s{version}"), content(&"x".repeat(250)), version));
    let all = rows(many.collect(), 2_001, ms(2_000));
    handed_on.note(TABLE, &FeedEvent::All(all));

    assert_eq!(
        told(&handed_on, question(5, ms(1_000))).await,
        HandedRows::TooLarge
    );
    let later = told(&handed_on, question(2_001, ms(1_000))).await;
    assert!(matches!(later, HandedRows::Changed(rows) if rows.rows.is_empty()));
}

/// A gateway that has heard nothing of the store yet has nothing to hand on.
#[tokio::test(start_paused = true)]
async fn nothing_is_handed_on_before_the_first_word() {
    let handed_on = HandedOn::default();

    assert_eq!(
        told(&handed_on, question(5, ms(1_000))).await,
        HandedRows::Lost
    );
}

/// What another writer left is handed on as it was read, so that both refuse it.
#[test]
fn rows_come_through_the_wire_as_they_are() {
    let odd = StoredValue::Unreadable("no base64".to_owned());
    let all = vec![
        row("a", content("x"), 1),
        row("b", odd, 2),
        row("c", StoredValue::Dropped, 3),
    ];
    let answer = HandedRows::All(rows(all, 3, Duration::from_micros(1_234_567)));

    let encoded = rmp_serde::to_vec_named(&answer).expect("rows always have an encoding");

    let read: HandedRows = rmp_serde::from_slice(&encoded).expect("just encoded");
    assert_eq!(read, answer);
}

/// Thousands of servers announce themselves within a second. All at once they would hold up the
/// neighbours' other answers; each reading them from the store, its bytes would be the dearest of
/// all. They come in parts, none is missing, and nothing counts as newer before the last one.
#[tokio::test(start_paused = true)]
async fn many_rows_are_handed_on_in_parts() {
    let handed_on = with_one_row();
    let many =
        (6..2_006).map(|version| row(&format!("s{version}"), content(&"x".repeat(250)), version));
    // Two rows of one write stay together.
    let twin = row("twin", content("x"), 1_000);
    let many = many.chain([twin]);
    handed_on.note(
        TABLE,
        &FeedEvent::Changed(rows(many.collect(), 2_005, ms(2_000))),
    );

    let (mut after, mut read, mut parts) = (5, Vec::new(), 0);
    let last = loop {
        match told(&handed_on, question(after, ms(1_000))).await {
            HandedRows::Part(part) => {
                assert_eq!(part.clock, ms(1_000));
                assert!(part.version.get() > after);
                after = part.version.get();
                read.extend(part.rows);
                parts += 1;
            }
            HandedRows::Changed(last) => break last,
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

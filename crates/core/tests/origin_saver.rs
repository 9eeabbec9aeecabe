//! Origins of streams that are saved in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::SoftwareVersion;
use amaranthscale_core::process::{
    OriginRow, OriginSave, OriginSaver, SavedOrigins, StreamFingerprint, StreamKey, StreamOrigin,
    origin_writer,
};

const RETENTION: Duration = Duration::from_secs(30);
/// What the store's clock shows at the beginning.
const STORE_CLOCK: Duration = Duration::from_secs(500);
const MAX_UNSAVED: usize = 20_000;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn key(number: usize) -> StreamKey {
    StreamKey {
        organisation: Some("north".parse().expect("a valid name")),
        call: format!("c{number}").parse().expect("a valid id"),
    }
}

fn stream(number: usize) -> StreamFingerprint {
    StreamFingerprint::of(&key(number))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "pool".parse().expect("a valid name"),
        version: Some(SoftwareVersion::new(version)),
    }
}

fn saver() -> OriginSaver {
    OriginSaver::new("g1".parse().expect("a valid name"), MAX_UNSAVED)
}

fn saver_with(streams: usize) -> OriginSaver {
    let mut saver = saver();
    for number in 0..streams {
        let version = if number % 2 == 0 { "v1" } else { "v2" };
        saver.add(stream(number), origin(version), RETENTION);
    }
    saver
}

fn next(saver: &mut OriginSaver, now: Duration) -> Option<OriginSave> {
    saver.next_save(now, STORE_CLOCK + now)
}

/// Origins that are read from rows.
fn read<'a>(rows: impl IntoIterator<Item = &'a OriginRow>) -> SavedOrigins {
    let mut saved = SavedOrigins::default();
    for row in rows {
        saved.add(row.clone());
    }
    saved
}

#[test]
fn saved_origins_are_found() {
    let mut saver = saver_with(5);

    let save = next(&mut saver, at(1)).expect("a save");
    let (id, row) = save.put.as_ref().expect("a row");
    let origins = read([row]);

    assert_eq!(id.to_string(), "g1/0");
    assert_eq!(row.until, STORE_CLOCK + RETENTION);
    assert_eq!(origins.len(), 5);
    assert_eq!(origins.find(&key(2)), Some(&origin("v1")));
    assert_eq!(origins.find(&key(3)), Some(&origin("v2")));
    assert_eq!(origins.find(&key(5)), None);
}

/// Guards against rows that a save whose answer was lost leaves behind.
#[test]
fn a_save_that_failed_is_repeated_under_its_name() {
    let mut saver = saver_with(1);
    let first = next(&mut saver, at(1)).expect("a save");
    saver.add(stream(1), origin("v2"), RETENTION);

    let second = next(&mut saver, at(2)).expect("a save");

    let id = |save: &OriginSave| save.put.as_ref().map(|(id, _)| id.clone());
    assert_eq!(id(&first), id(&second));
    assert_eq!(read([&second.put.expect("a row").1]).len(), 2);
}

/// Guards against origins that are added during a write and counted as saved.
#[test]
fn what_is_added_during_a_save_is_saved_next() {
    let mut saver = saver_with(1);
    let save = next(&mut saver, at(1)).expect("a save");
    saver.add(stream(1), origin("v2"), RETENTION);

    saver.record_saved(&save);

    let (id, row) = next(&mut saver, at(1))
        .and_then(|save| save.put)
        .expect("a row");
    assert_eq!(id.number, 1);
    assert_eq!(read([&row]).find(&key(1)), Some(&origin("v2")));
}

/// Guards against rows that exceed the limit of the store.
#[test]
fn many_origins_are_saved_in_several_rows() {
    let mut saver = saver_with(12_000);
    let mut rows = BTreeMap::new();

    while let Some(save) = next(&mut saver, at(1)) {
        saver.record_saved(&save);
        let (id, row) = save.put.expect("a row");
        rows.insert(id, row);
    }

    assert!(rows.len() > 1);
    assert_eq!(read(rows.values()).len(), 12_000);
    let groups = rows.values().map(|row| row.groups.len());
    assert!(groups.max() <= Some(2));
}

#[test]
fn rows_are_removed_with_a_later_save_or_once_all_have_expired() {
    let mut saver = saver_with(1);
    let first = next(&mut saver, at(1)).expect("a save");
    saver.record_saved(&first);
    saver.add(stream(1), origin("v2"), at(60));

    let second = next(&mut saver, at(31)).expect("a save");
    saver.record_saved(&second);

    let id_of = |save: &OriginSave| save.put.as_ref().expect("a row").0.clone();
    assert_eq!(second.removed, [id_of(&first)]);
    assert_eq!(next(&mut saver, at(59)), None);
    let last = next(&mut saver, at(60)).expect("a save");
    assert_eq!(last.put, None);
    assert_eq!(last.removed, [id_of(&second)]);
    saver.record_saved(&last);
    assert!(saver.is_idle());
}

#[test]
fn origins_that_expire_before_they_are_saved_are_dropped() {
    let mut saver = saver_with(3);

    assert_eq!(next(&mut saver, RETENTION), None);
    assert!(saver.is_idle());
}

/// Guards against a stream that goes on at one of two versions because its call id was used twice.
#[test]
fn rows_that_contradict_each_other_yield_nothing() {
    let row = |version: &str| {
        let mut saver = saver();
        saver.add(stream(1), origin(version), RETENTION);
        let save = next(&mut saver, at(1)).expect("a save");
        save.put.expect("a row").1
    };

    let saved = read([&row("v1"), &row("v2"), &row("v1")]);

    assert_eq!(saved.find(&key(1)), None);
}

/// Guards against calls to the store that rise with the number of gateways.
#[test]
fn few_gateways_save_the_origins_of_all() {
    let gateways = |count: u8| -> Vec<(u8, SocketAddr)> {
        let address = |number| SocketAddr::from(([10, 1, 0, number], 8_600));
        (0..count).map(|number| (number, address(number))).collect()
    };
    let writers = |count: u8| {
        let all = gateways(count);
        let mut by_writer: BTreeMap<u8, usize> = BTreeMap::new();
        for (_, own) in &all {
            let (writer, _) = origin_writer(*own, all.clone()).expect("a writer");
            *by_writer.entry(writer).or_default() += 1;
        }
        by_writer
    };

    assert_eq!(writers(5).len(), 1);
    let of_many = writers(250);
    assert_eq!(of_many.len(), 6);
    assert!(of_many.values().all(|count| *count < 100), "{of_many:?}");
    assert_eq!(origin_writer::<u8>(gateways(1)[0].1, Vec::new()), None);
}

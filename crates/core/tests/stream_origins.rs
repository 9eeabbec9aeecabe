//! Where streams began, as one gateway keeps it.

use std::time::Duration;

use amaranthscale_core::id::{CallId, OrganisationId, ServiceId, SoftwareVersion};
use amaranthscale_core::process::{StreamKey, StreamOrigin, StreamOrigins};

const RETENTION: Duration = Duration::from_secs(30);

fn key(call: &str) -> StreamKey {
    StreamKey {
        organisation: Some(OrganisationId::new("north").expect("a valid name")),
        call: CallId::new(call).expect("a valid name"),
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceId::new("pool").expect("a valid name"),
        version: Some(SoftwareVersion::new(version)),
    }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn an_origin_is_kept_for_its_retention_after_the_last_record() {
    let mut origins = StreamOrigins::new(10);
    origins.record(key("c1"), origin("v1"), RETENTION, at(0));
    origins.record(key("c1"), origin("v1"), RETENTION, at(20));

    assert_eq!(origins.find(&key("c1"), at(49)), Some(&origin("v1")));
    assert_eq!(origins.find(&key("c1"), at(50)), None);
}

/// Guards against a stream that another organisation binds to a version by using its call id.
#[test]
fn origins_of_other_organisations_do_not_count() {
    let mut origins = StreamOrigins::new(10);
    let other = StreamKey {
        organisation: None,
        ..key("c1")
    };
    origins.record(other, origin("v2"), RETENTION, at(0));

    assert_eq!(origins.find(&key("c1"), at(1)), None);
}

/// Guards against a stream that goes on at either of two versions that claim its call id.
#[test]
fn contradicting_records_yield_nothing() {
    let mut origins = StreamOrigins::new(10);
    origins.record(key("c1"), origin("v1"), RETENTION, at(0));
    origins.record(key("c1"), origin("v2"), RETENTION, at(1));
    origins.record(key("c1"), origin("v1"), RETENTION, at(2));

    assert_eq!(origins.find(&key("c1"), at(3)), None);
}

#[test]
fn the_oldest_origins_are_dropped_at_the_limit() {
    let mut origins = StreamOrigins::new(100);
    for number in 0..1_000 {
        origins.record(key(&format!("c{number}")), origin("v1"), RETENTION, at(0));
    }

    assert_eq!(origins.len(), 100);
    assert_eq!(origins.find(&key("c899"), at(1)), None);
    assert!(origins.find(&key("c900"), at(1)).is_some());
}

#[test]
fn expired_origins_take_no_memory() {
    let mut origins = StreamOrigins::new(1_000);
    for number in 0..100 {
        origins.record(
            key(&format!("c{number}")),
            origin("v1"),
            RETENTION,
            at(number),
        );
    }

    assert_eq!(origins.len(), 30);
}

/// Guards against gateways that look for an origin where none has put it.
#[test]
fn all_gateways_rank_the_keepers_of_a_stream_alike() {
    let gateway = |number: u8| {
        let address = format!("10.0.0.{number}:7000")
            .parse()
            .expect("a valid address");
        (number, address)
    };
    let (all, reversed): (Vec<_>, Vec<_>) = (
        (1..9).map(gateway).collect(),
        (1..9).rev().map(gateway).collect(),
    );
    let mut first = std::collections::BTreeSet::new();
    for call in 0..50 {
        let key = key(&format!("c{call}"));
        let ranked = key.rank(all.clone());

        assert_eq!(ranked, key.rank(reversed.clone()));
        first.insert(ranked[0].0);
    }
    assert!(first.len() > 5, "few gateways keep all: {first:?}");
}

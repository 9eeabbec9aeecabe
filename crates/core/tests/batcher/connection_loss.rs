//! Calls whose servers end while they run.

use std::collections::BTreeSet;

use amaranthscale_core::process::{Batch, BatchEnd, JobEvent, JobFailure};

use super::fixture::{ENCODE, Fixture};

/// Ids of the calls whose pieces are in a batch.
fn calls(batch: &Batch) -> BTreeSet<String> {
    let items = batch.items.iter();
    items.map(|item| item.call.to_string()).collect()
}

fn submit(fixture: &mut Fixture, jobs: usize) {
    for _ in 0..jobs {
        let spec = fixture.chain(&[(ENCODE, 1, 100)]);
        fixture.submit(spec);
    }
}

#[test]
fn a_lost_connection_is_reported_to_each_request_of_the_call() {
    let mut fixture = Fixture::new(&["north"]);
    submit(&mut fixture, 2);
    let batch = fixture.next_batch();

    fixture.end(&batch, BatchEnd::ConnectionLost);

    let events = fixture.batcher.take_events();
    let reported = events.iter().filter(|event| {
        matches!(event, JobEvent::ConnectionLost(_, server, address)
            if *server == batch.server && *address == batch.address)
    });
    assert_eq!(reported.count(), 2);
}

/// Guards against a piece that crashes servers and fails the same unrelated pieces with it each
/// time.
#[test]
fn requests_with_two_lost_connections_run_alone() {
    let mut fixture = Fixture::new(&["north"]);
    submit(&mut fixture, 2);
    for _ in 0..2 {
        let batch = fixture.next_batch();
        assert_eq!(calls(&batch).len(), 2);
        fixture.end(&batch, BatchEnd::ConnectionLost);
        fixture.restart("encode-0");
        fixture.advance(700);
    }

    let batch = fixture.next_batch();

    assert_eq!(calls(&batch).len(), 1);
}

#[test]
fn a_request_with_connections_lost_to_three_servers_fails() {
    let mut fixture = Fixture::new(&["north", "north", "north", "north"]);
    submit(&mut fixture, 1);
    for _ in 0..3 {
        let batch = fixture.next_batch();
        fixture.end(&batch, BatchEnd::ConnectionLost);
    }

    let events = fixture.events();

    let is_given_up = |event: &JobEvent| matches!(event, JobEvent::Failed(_, JobFailure::Failing));
    assert!(events.iter().any(is_given_up), "{events:?}");
    assert!(fixture.next_batches().is_empty());
}

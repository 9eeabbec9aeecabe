//! Calls whose servers end under them.

use std::collections::BTreeSet;

use amaranthscale_core::process::{Batch, BatchEnd, JobEvent, JobFailure};

use super::bench::{Bench, ENCODE};

/// Names of the requests in a call.
fn calls(batch: &Batch) -> BTreeSet<String> {
    let items = batch.items.iter();
    items.map(|item| item.call.to_string()).collect()
}

fn submit(bench: &mut Bench, jobs: usize) {
    for _ in 0..jobs {
        let order = bench.chain(&[(ENCODE, 1, 100)]);
        bench.submit(order);
    }
}

#[test]
fn each_request_in_a_call_that_was_cut_off_is_told_of_its_server() {
    let mut bench = Bench::new(&["north"]);
    submit(&mut bench, 2);
    let batch = bench.next_batch();

    bench.end(&batch, BatchEnd::ConnectionLost);

    let events = bench.batcher.take_events();
    let told = events.iter().filter(|event| {
        matches!(event, JobEvent::ConnectionLost(_, server, address)
            if *server == batch.server && *address == batch.address)
    });
    assert_eq!(told.count(), 2);
}

/// Guards against a piece that crashes servers and takes the same innocent ones with it each time.
#[test]
fn requests_that_were_cut_off_twice_go_on_alone() {
    let mut bench = Bench::new(&["north"]);
    submit(&mut bench, 2);
    for _ in 0..2 {
        let batch = bench.next_batch();
        assert_eq!(calls(&batch).len(), 2);
        bench.end(&batch, BatchEnd::ConnectionLost);
        bench.restart("encode-0");
        bench.advance(700);
    }

    let batch = bench.next_batch();

    assert_eq!(calls(&batch).len(), 1);
}

#[test]
fn a_request_that_was_cut_off_at_three_servers_is_given_up() {
    let mut bench = Bench::new(&["north", "north", "north", "north"]);
    submit(&mut bench, 1);
    for _ in 0..3 {
        let batch = bench.next_batch();
        bench.end(&batch, BatchEnd::ConnectionLost);
    }

    let events = bench.events();

    let is_given_up = |event: &JobEvent| matches!(event, JobEvent::Failed(_, JobFailure::Failing));
    assert!(events.iter().any(is_given_up), "{events:?}");
    assert!(bench.next_batches().is_empty());
}

//! Calls that end otherwise than with all pieces made.

use amaranthscale_core::process::{BatchEnd, JobEvent, JobFailure, PieceEnd};

use super::bench::{Bench, ENCODE, RETRIEVE, ms};

#[test]
fn a_job_is_done_when_its_last_stage_is_made() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 100), (RETRIEVE, 2, 100)]);
    let job = bench.submit(order);
    let first = bench.next_batch();
    bench.advance(210);
    bench.make(&first);
    assert!(bench.events().is_empty());
    let second = bench.next_batch();
    bench.advance(220);

    let made = bench.make(&second);

    let events = bench.events();
    let [JobEvent::Done(done, handles, times)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!((*done, handles), (job, &made));
    assert_eq!(times[0].worked, ms(210));
    assert_eq!(times[1].worked, ms(220));
}

/// A server crashes with a call at work. Its pieces must be made by another one, and the server
/// must not get the next call at once.
#[test]
fn pieces_of_a_lost_call_go_to_another_server() {
    let mut bench = Bench::new(&["north", "north"]);
    let order = bench.chain(&[(ENCODE, 1, 100)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(300);

    bench.end(&batch, BatchEnd::NoAnswer);

    let again = bench.next_batch();
    assert_ne!(again.server, batch.server);
    assert_eq!(again.items[0].call, batch.items[0].call);
}

#[test]
fn a_full_server_is_tried_again_a_little_later() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 100)]);
    bench.submit(order);
    let batch = bench.next_batch();

    bench.end(&batch, BatchEnd::Rejected);

    assert!(bench.next_batches().is_empty());
    bench.advance(100);
    assert_eq!(bench.next_batch().items.len(), 1);
}

/// A server dies with results that later pieces need. Every call that reads them would fail, so
/// the inputs are made anew, all of them, since the answer does not say which are gone.
#[test]
fn inputs_that_are_gone_are_made_anew() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 2, 100), (RETRIEVE, 1, 100)]);
    bench.submit(order);
    let first = bench.next_batch();
    bench.advance(220);
    let lost = bench.make(&first);
    let second = bench.next_batch();
    bench.advance(10);

    bench.end(&second, BatchEnd::Pieces(vec![PieceEnd::InputMissing]));

    let again = bench.next_batch();
    assert_eq!(again.service.as_str(), ENCODE);
    assert_eq!(again.items.len(), 2);
    assert_eq!(bench.freed(), lost, "what is left of them is dropped");
    bench.advance(220);
    bench.make(&again);
    assert_eq!(bench.next_batch().service.as_str(), RETRIEVE);
}

#[test]
fn a_piece_that_keeps_failing_fails_its_job() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 100)]);
    let job = bench.submit(order);

    for _ in 0..13 {
        let batch = bench.next_batch();
        bench.advance(20);
        bench.end(&batch, BatchEnd::Pieces(vec![PieceEnd::Failed]));
    }

    let failed = JobEvent::Failed(job, JobFailure::Failing);
    assert_eq!(bench.events(), [failed]);
    bench.advance(100);
    assert!(bench.next_batches().is_empty());
}

#[test]
fn a_job_whose_deadline_has_passed_is_given_up() {
    let mut bench = Bench::new(&["north"]);
    let busy = bench.chain(&[(ENCODE, 10, 100)]);
    bench.submit(busy);
    let _running = bench.next_batch();
    let mut order = bench.chain(&[(ENCODE, 1, 100)]);
    order.deadline_left = ms(1_500);
    let job = bench.submit(order);

    bench.advance(1_600);
    bench.next_batches();

    assert_eq!(bench.events(), [JobEvent::Failed(job, JobFailure::Late)]);
}

/// Servers are far behind for many seconds. A request that was taken to run in what is left over is
/// given up once it could not be done within two of its aims, here 210 ms before their end, so that
/// its caller can come back, and not at its deadline.
#[test]
fn a_request_that_has_not_begun_is_not_held_to_its_deadline() {
    let mut bench = Bench::new(&["north"]);
    let busy = bench.chain(&[(ENCODE, 10, 100)]);
    bench.submit(busy);
    let _running = bench.next_batch();
    let mut order = bench.chain(&[(ENCODE, 1, 100)]);
    order.target_latency = ms(500);
    order.target_latency_left = order.target_latency;
    let job = bench.submit(order);

    bench.advance(700);
    bench.next_batches();
    assert!(bench.events().is_empty());
    bench.advance(100);
    bench.next_batches();

    assert_eq!(bench.events(), [JobEvent::Failed(job, JobFailure::Late)]);
}

#[test]
fn an_end_that_comes_twice_counts_once() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 100)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(210);
    bench.make(&batch);
    bench.events();

    bench.make(&batch);

    assert!(bench.events().is_empty());
}

#[test]
fn a_server_that_has_left_gets_no_more_calls() {
    let mut bench = Bench::new(&["north", "north"]);
    bench.set_servers(&["north"]);
    for _ in 0..4 {
        let order = bench.chain(&[(ENCODE, 5, 100)]);
        bench.submit(order);
    }

    let batches = bench.next_batches();

    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].server.id().as_str(), "encode-0");
}

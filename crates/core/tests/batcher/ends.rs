//! Calls that end without all pieces completed.

use amaranthscale_core::process::{BatchEnd, JobEvent, JobFailure, PieceEnd};

use super::fixture::{ENCODE, Fixture, RETRIEVE, ms};

#[test]
fn a_job_is_done_when_its_last_stage_is_completed() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 2, 100)]);
    let job = fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&first);
    assert!(fixture.events().is_empty());
    let second = fixture.next_batch();
    fixture.advance(220);

    let completed = fixture.complete(&second);

    let events = fixture.events();
    let [JobEvent::Done(done, handles, times)] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!((*done, handles), (job, &completed));
    assert_eq!(times[0].worked, ms(210));
    assert_eq!(times[1].worked, ms(220));
}

/// A server crashes during a call. The call's pieces must go to another server, and the server must
/// not get the next call at once.
#[test]
fn pieces_of_an_unanswered_call_go_to_another_server() {
    let mut fixture = Fixture::new(&["north", "north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(300);

    fixture.end(&batch, BatchEnd::NoAnswer);

    let again = fixture.next_batch();
    assert_ne!(again.server, batch.server);
    assert_eq!(again.items[0].call, batch.items[0].call);
}

#[test]
fn a_server_that_rejected_a_call_is_retried_after_a_pause() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();

    fixture.end(&batch, BatchEnd::Rejected);

    assert!(fixture.next_batches().is_empty());
    fixture.advance(100);
    assert_eq!(fixture.next_batch().items.len(), 1);
}

/// A server dies with results that later pieces need. Every call that reads them would fail, so all
/// inputs are recomputed, since the answer does not tell which are missing.
#[test]
fn missing_inputs_are_recomputed() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 2, 100), (RETRIEVE, 1, 100)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.advance(220);
    let lost = fixture.complete(&first);
    let second = fixture.next_batch();
    fixture.advance(10);

    fixture.end(&second, BatchEnd::Pieces(vec![PieceEnd::InputMissing]));

    let again = fixture.next_batch();
    assert_eq!(again.service.as_str(), ENCODE);
    assert_eq!(again.items.len(), 2);
    assert_eq!(fixture.freed(), lost, "the remaining ones are freed");
    fixture.advance(220);
    fixture.complete(&again);
    assert_eq!(fixture.next_batch().service.as_str(), RETRIEVE);
}

#[test]
fn a_piece_that_keeps_failing_fails_its_job() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100)]);
    let job = fixture.submit(spec);

    for _ in 0..13 {
        let batch = fixture.next_batch();
        fixture.advance(20);
        fixture.end(&batch, BatchEnd::Pieces(vec![PieceEnd::Failed]));
    }

    let failed = JobEvent::Failed(job, JobFailure::Failing);
    assert_eq!(fixture.events(), [failed]);
    fixture.advance(100);
    assert!(fixture.next_batches().is_empty());
}

#[test]
fn a_job_fails_when_its_deadline_has_passed() {
    let mut fixture = Fixture::new(&["north"]);
    let busy = fixture.chain(&[(ENCODE, 10, 100)]);
    fixture.submit(busy);
    let _running = fixture.next_batch();
    let mut spec = fixture.chain(&[(ENCODE, 1, 100)]);
    spec.deadline_left = ms(1_500);
    let job = fixture.submit(spec);

    fixture.advance(1_600);
    fixture.next_batches();

    assert_eq!(fixture.events(), [JobEvent::Failed(job, JobFailure::Late)]);
}

/// Servers are overloaded for many seconds. A request that was accepted to run on spare capacity
/// fails once it could not be completed within twice its target latency, here 210 ms before the end
/// of that time, so that its caller can retry before the deadline.
#[test]
fn a_request_that_has_not_started_fails_before_its_deadline() {
    let mut fixture = Fixture::new(&["north"]);
    let busy = fixture.chain(&[(ENCODE, 10, 100)]);
    fixture.submit(busy);
    let _running = fixture.next_batch();
    let mut spec = fixture.chain(&[(ENCODE, 1, 100)]);
    spec.target_latency = ms(500);
    spec.target_latency_left = spec.target_latency;
    let job = fixture.submit(spec);

    fixture.advance(700);
    fixture.next_batches();
    assert!(fixture.events().is_empty());
    fixture.advance(100);
    fixture.next_batches();

    assert_eq!(fixture.events(), [JobEvent::Failed(job, JobFailure::Late)]);
}

#[test]
fn a_repeated_call_end_is_ignored() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&batch);
    fixture.events();

    fixture.complete(&batch);

    assert!(fixture.events().is_empty());
}

#[test]
fn a_removed_server_gets_no_calls() {
    let mut fixture = Fixture::new(&["north", "north"]);
    fixture.set_servers(&["north"]);
    for _ in 0..4 {
        let spec = fixture.chain(&[(ENCODE, 5, 100)]);
        fixture.submit(spec);
    }

    let batches = fixture.next_batches();

    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].server.id().as_str(), "encode-0");
}

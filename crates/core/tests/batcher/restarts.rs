//! Servers that restart under the same id.

use amaranthscale_core::process::{BatchEnd, JobEvent, PieceInput};

use super::fixture::{CAPACITY_BYTES, ENCODE, Fixture, RERANK, RETRIEVE, ms};

/// A server with results that fill its storage crashes and restarts under its id. Its storage is
/// empty, but an owner that takes it for the same incarnation assumes that it is full: the only
/// server of the service is never used again.
#[test]
fn a_restarted_server_has_free_storage() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, CAPACITY_BYTES * 9 / 10)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.complete(&batch);
    let waiting = fixture.chain(&[(ENCODE, 1, CAPACITY_BYTES * 9 / 10)]);
    fixture.submit(waiting);
    fixture.advance(100);
    assert!(fixture.next_batches().is_empty());

    let incarnation = fixture.restart("encode-0");

    assert_eq!(fixture.next_batch().server, incarnation);
}

/// A request's first results are stored at a server that restarts before they are read. If the next
/// stage's call named them, it would fail with its whole batch, and the request would be late.
#[test]
fn results_of_an_ended_incarnation_are_recomputed_and_never_used() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000), (RERANK, 1, 1_000)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.complete(&batch);

    fixture.restart("encode-0");
    fixture.advance(10);

    let again = fixture.next_batch();
    assert_eq!(again.service.as_str(), ENCODE);
    let completed = fixture.complete(&again);
    let next = fixture.next_batch();
    assert_eq!(next.items[0].input, PieceInput::Results(completed));
}

/// A server restarts during a call. Behind a network partition, the connection only fails at the
/// call's timeout, two calls later: the pieces must go to another server at once.
#[test]
fn a_call_to_an_ended_incarnation_ends_at_once() {
    let mut fixture = Fixture::new(&["north", "south"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();

    fixture.restart(batch.server.id().as_str());
    fixture.advance(1);

    let again = fixture.next_batch();
    assert_ne!(again.server, batch.server);
    fixture.complete(&again);
    fixture.end(&batch, BatchEnd::NoAnswer);
    assert!(matches!(&fixture.events()[..], [JobEvent::Done(done, _, _)] if *done == job));
}

/// A request ends after its server has restarted. A free request would name results that the new
/// incarnation never computed.
#[test]
fn no_results_are_freed_at_the_next_incarnation() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.complete(&batch);
    fixture.restart("encode-0");

    fixture.batcher.release(job);

    assert!(fixture.freed().is_empty());
}

/// The earlier incarnation was slow and lost calls. If that counted for the new one, the service
/// would not use it for seconds.
#[test]
fn a_lost_call_of_an_ended_incarnation_does_not_eject_the_next() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.end(&batch, BatchEnd::NoAnswer);
    fixture.advance(20);
    assert!(fixture.next_batches().is_empty());

    let incarnation = fixture.restart("encode-0");

    assert_eq!(fixture.next_batch().server, incarnation);
    assert_eq!(fixture.now, ms(10_020));
}

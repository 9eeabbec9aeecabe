//! Servers that start again under the id that they had.

use amaranthscale_core::process::{BatchEnd, JobEvent, PieceInput};

use super::bench::{Bench, ENCODE, RERANK, RETRIEVE, ROOM_BYTES, ms};

/// A server crashes while it keeps results that fill its room, and starts again under its id. Its
/// room is empty, but an owner that takes it for the same server believes it full: the service's
/// only server is never used again.
#[test]
fn the_room_of_an_ended_life_is_free_in_the_next_one() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, ROOM_BYTES * 9 / 10)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.make(&batch);
    let waiting = bench.chain(&[(ENCODE, 1, ROOM_BYTES * 9 / 10)]);
    bench.submit(waiting);
    bench.advance(100);
    assert!(bench.next_batches().is_empty());

    let life = bench.restart("encode-0");

    assert_eq!(bench.next_batch().server, life);
}

/// A request's first results lie at a server that starts again before they are read. Named to the
/// next stage, they would be gone: a call of a whole batch in vain, and the request is late.
#[test]
fn results_of_an_ended_life_are_made_anew_and_never_named() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000), (RERANK, 1, 1_000)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.make(&batch);

    bench.restart("encode-0");
    bench.advance(10);

    let again = bench.next_batch();
    assert_eq!(again.service.as_str(), ENCODE);
    let made = bench.make(&again);
    let next = bench.next_batch();
    assert_eq!(next.items[0].input, PieceInput::Results(made));
}

/// A server starts again while a call runs there. Behind a cut, the call's connection tells it only
/// when the owner's patience is over, two calls later: the pieces had better go elsewhere at once.
#[test]
fn a_call_to_an_ended_life_ends_at_once() {
    let mut bench = Bench::new(&["north", "south"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();

    bench.restart(batch.server.id().as_str());
    bench.advance(1);

    let again = bench.next_batch();
    assert_ne!(again.server, batch.server);
    bench.make(&again);
    bench.end(&batch, BatchEnd::NoAnswer);
    assert!(matches!(&bench.events()[..], [JobEvent::Done(done, _, _)] if *done == job));
}

/// A request ends after its server has started again. A free sent there would name results that the
/// new life never made.
#[test]
fn nothing_is_freed_at_the_life_after_the_one_that_made_it() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();
    bench.make(&batch);
    bench.restart("encode-0");

    bench.batcher.release(job);

    assert!(bench.freed().is_empty());
}

/// The earlier life was slow and lost calls. Believed of the new one, its service would go without
/// it for seconds.
#[test]
fn a_loss_by_an_ended_life_says_nothing_of_the_next() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.end(&batch, BatchEnd::NoAnswer);
    bench.advance(20);
    assert!(bench.next_batches().is_empty());

    let life = bench.restart("encode-0");

    assert_eq!(bench.next_batch().server, life);
    assert_eq!(bench.now, ms(10_020));
}

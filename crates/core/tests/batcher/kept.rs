//! An owner of the batches that ends, and the next one that goes on with what was made.

use std::collections::BTreeMap;

use amaranthscale_core::process::{JobEvent, PieceInput, RetainedResult};

use super::bench::{Bench, ENCODE, RERANK, RETRIEVE, ROOM_BYTES, ms};

/// What the gateway of the only request was told to be made.
fn told(bench: &mut Bench) -> Vec<RetainedResult> {
    let mut told = BTreeMap::new();
    for event in bench.batcher.take_events() {
        match event {
            JobEvent::ResultsStored(_, pieces) => {
                told.extend(
                    pieces
                        .into_iter()
                        .map(|piece| ((piece.stage, piece.piece), piece)),
                );
            }
            JobEvent::ResultsDropped(_, stage) => told.retain(|(of, _), _| *of != stage),
            JobEvent::Done(..) | JobEvent::Failed(..) | JobEvent::ConnectionLost(..) => {}
        }
    }
    told.into_values().collect()
}

/// The owner is killed between two stages of a request. The next one must go on with the results of
/// the first stage: made anew, they would be late, and lie there twice.
#[test]
fn the_next_owner_makes_only_what_is_missing() {
    let mut bench = Bench::new(&["north"]);
    let mut order = bench.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 1, 1_000)]);
    bench.submit(order.clone());
    let batch = bench.next_batch();
    let made = bench.make(&batch);
    order.retained = told(&mut bench);

    bench.change_owner();
    bench.submit(order);

    let next = bench.next_batch();
    assert_eq!(next.service.as_str(), RETRIEVE);
    assert_eq!(next.items[0].input, PieceInput::Results(made));
}

/// The owner stops in order while a call runs. The request is handed over once that call has ended,
/// with its results, and nothing new is sent meanwhile.
#[test]
fn an_owner_that_stops_hands_a_job_over_after_its_call() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();

    bench.batcher.stop();
    assert!(bench.batcher.hand_over().is_empty());
    bench.make(&batch);
    bench.advance(20);

    assert!(bench.next_batches().is_empty());
    assert_eq!(bench.batcher.hand_over(), [job]);
    assert_eq!(told(&mut bench).len(), 1);
    bench.batcher.release(job);
    assert!(bench.freed().is_empty(), "the next owner reads them");
}

/// The results of an early stage were freed once the next stage had read them. Without them the
/// request looks as if nothing of it was made; what is needed is only its last stage.
#[test]
fn a_stage_that_was_read_is_not_made_again() {
    let mut bench = Bench::new(&["north"]);
    let stages = [(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000), (RERANK, 1, 1_000)];
    let mut order = bench.chain(&stages);
    bench.submit(order.clone());
    for _ in 0..2 {
        let batch = bench.next_batch();
        bench.make(&batch);
        bench.advance(20);
    }
    order.retained = told(&mut bench);
    assert_eq!(order.retained.len(), 1, "{:?}", order.retained);

    bench.change_owner();
    bench.submit(order);

    assert_eq!(bench.next_batch().service.as_str(), RERANK);
}

/// What an earlier owner had made fills a server. The next owner must count it, or its calls there
/// find no room.
#[test]
fn kept_results_take_room_at_the_next_owner() {
    let mut bench = Bench::new(&["north"]);
    let mut order = bench.chain(&[(ENCODE, 1, ROOM_BYTES * 9 / 10), (RETRIEVE, 1, 1_000)]);
    bench.submit(order.clone());
    let batch = bench.next_batch();
    bench.make(&batch);
    order.retained = told(&mut bench);

    bench.change_owner();
    bench.submit(order);
    let other = bench.chain(&[(ENCODE, 1, ROOM_BYTES / 2)]);
    bench.submit(other);
    bench.advance(50);

    let services: Vec<_> = bench
        .next_batches()
        .into_iter()
        .map(|batch| batch.service)
        .collect();
    assert_eq!(services.len(), 1);
    assert_eq!(services[0].as_str(), RETRIEVE);
}

/// A gateway waited long for a word of the frozen owner. What it was told has lapsed by now, or its
/// server has started again: named to the next stage, it would be gone.
#[test]
fn what_has_lapsed_or_ended_is_made_anew() {
    for is_old in [true, false] {
        let mut bench = Bench::new(&["north"]);
        let mut order = bench.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000)]);
        bench.submit(order.clone());
        let batch = bench.next_batch();
        bench.make(&batch);
        order.retained = told(&mut bench);
        if is_old {
            order.retained[0].age = ms(3_900);
        } else {
            bench.restart("encode-0");
        }

        bench.change_owner();
        bench.submit(order);

        assert_eq!(bench.next_batch().service.as_str(), ENCODE);
    }
}

/// A peer names pieces that the request does not have. They are passed over, and nothing ends.
#[test]
fn pieces_that_cannot_be_are_passed_over() {
    let mut bench = Bench::new(&["north"]);
    let mut order = bench.chain(&[(ENCODE, 1, 1_000)]);
    let piece = |stage, piece| RetainedResult {
        stage,
        piece,
        handle: "10.0.0.1:80/x".parse().unwrap(),
        server: bench.life("encode-0"),
        address: "127.0.0.1:9000".parse().unwrap(),
        age: ms(0),
    };
    order.retained = vec![piece(7, 0), piece(0, 7)];

    bench.submit(order);

    assert_eq!(bench.next_batch().items.len(), 1);
}

/// A request leaves a stage out that follows another one. Nothing was made for it yet, so the stage
/// before is made as ever: only what an earlier owner made can have been read.
#[test]
fn a_stage_before_one_that_is_left_out_is_made() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 0, 1_000)]);

    bench.submit(order);

    assert_eq!(bench.next_batch().service.as_str(), ENCODE);
}

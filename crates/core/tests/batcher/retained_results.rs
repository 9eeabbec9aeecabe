//! A batch owner ends, and the next one continues with the stored results.

use std::collections::BTreeMap;

use amaranthscale_core::process::{JobEvent, PieceInput, RetainedResult};

use super::fixture::{CAPACITY_BYTES, ENCODE, Fixture, RERANK, RETRIEVE, ms};

/// Stored results that were reported to the gateway of the only request.
pub fn reported_results(fixture: &mut Fixture) -> Vec<RetainedResult> {
    let mut reported_results = BTreeMap::new();
    for event in fixture.batcher.take_events() {
        match event {
            JobEvent::ResultsStored(_, pieces) => {
                reported_results.extend(
                    pieces
                        .into_iter()
                        .map(|piece| ((piece.stage, piece.piece), piece)),
                );
            }
            JobEvent::ResultsDropped(_, stage) => {
                reported_results.retain(|(of, _), _| *of != stage);
            }
            JobEvent::Done(..)
            | JobEvent::Failed(..)
            | JobEvent::Displaced(..)
            | JobEvent::ConnectionLost(..) => {}
        }
    }
    reported_results.into_values().collect()
}

/// The owner is killed between two stages of a request. The next one must continue with the results
/// of the first stage: if it recomputed them, they would be late and stored twice.
#[test]
fn the_next_owner_computes_only_missing_results() {
    let mut fixture = Fixture::new(&["north"]);
    let mut spec = fixture.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 1, 1_000)]);
    fixture.submit(spec.clone());
    let batch = fixture.next_batch();
    let completed = fixture.complete(&batch);
    spec.retained = reported_results(&mut fixture);

    fixture.change_owner();
    fixture.submit(spec);

    let next = fixture.next_batch();
    assert_eq!(next.service.as_str(), RETRIEVE);
    assert_eq!(next.items[0].input, PieceInput::Results(completed));
}

/// The owner stops gracefully during a call. The request is handed over with its results once that
/// call has ended, and nothing new is sent meanwhile.
#[test]
fn a_stopping_owner_hands_over_a_job_after_its_call() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();

    fixture.batcher.stop();
    assert!(fixture.batcher.hand_over().is_empty());
    fixture.complete(&batch);
    fixture.advance(20);

    assert!(fixture.next_batches().is_empty());
    assert_eq!(fixture.batcher.hand_over(), [job]);
    assert_eq!(reported_results(&mut fixture).len(), 1);
    fixture.batcher.release(job);
    assert!(fixture.freed().is_empty(), "the next owner reads them");
}

/// The results of an early stage were freed once the next stage had read them. Without them the
/// request looks as if it had not started, but only its last stage is missing.
#[test]
fn a_stage_whose_results_were_read_is_not_recomputed() {
    let mut fixture = Fixture::new(&["north"]);
    let stages = [(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000), (RERANK, 1, 1_000)];
    let mut spec = fixture.chain(&stages);
    fixture.submit(spec.clone());
    for _ in 0..2 {
        let batch = fixture.next_batch();
        fixture.complete(&batch);
        fixture.advance(20);
    }
    spec.retained = reported_results(&mut fixture);
    assert_eq!(spec.retained.len(), 1, "{:?}", spec.retained);

    fixture.change_owner();
    fixture.submit(spec);

    assert_eq!(fixture.next_batch().service.as_str(), RERANK);
}

/// Results of an earlier owner fill a server. The next owner must count them, or its calls there
/// find no free storage.
#[test]
fn the_next_owner_reserves_storage_for_retained_results() {
    let mut fixture = Fixture::new(&["north"]);
    let mut spec = fixture.chain(&[(ENCODE, 1, CAPACITY_BYTES * 9 / 10), (RETRIEVE, 1, 1_000)]);
    fixture.submit(spec.clone());
    let batch = fixture.next_batch();
    fixture.complete(&batch);
    spec.retained = reported_results(&mut fixture);

    fixture.change_owner();
    fixture.submit(spec);
    let other = fixture.chain(&[(ENCODE, 1, CAPACITY_BYTES / 2)]);
    fixture.submit(other);
    fixture.advance(50);

    let services: Vec<_> = fixture
        .next_batches()
        .into_iter()
        .map(|batch| batch.service)
        .collect();
    assert_eq!(services.len(), 1);
    assert_eq!(services[0].as_str(), RETRIEVE);
}

/// A gateway waited long for the frozen owner. The reported results have expired meanwhile, or
/// their server has restarted: a call of the next stage that named them would fail.
#[test]
fn expired_results_and_those_of_ended_incarnations_are_recomputed() {
    for is_old in [true, false] {
        let mut fixture = Fixture::new(&["north"]);
        let mut spec = fixture.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 1, 1_000)]);
        fixture.submit(spec.clone());
        let batch = fixture.next_batch();
        fixture.complete(&batch);
        spec.retained = reported_results(&mut fixture);
        if is_old {
            spec.retained[0].age = ms(3_900);
        } else {
            fixture.restart("encode-0");
        }

        fixture.change_owner();
        fixture.submit(spec);

        assert_eq!(fixture.next_batch().service.as_str(), ENCODE);
    }
}

/// A peer names pieces that the request does not have. They are ignored, and the job still runs.
#[test]
fn retained_results_of_unknown_pieces_are_ignored() {
    let mut fixture = Fixture::new(&["north"]);
    let mut spec = fixture.chain(&[(ENCODE, 1, 1_000)]);
    let piece = |stage, piece| RetainedResult {
        stage,
        piece,
        handle: "10.0.0.1:80/x".parse().unwrap(),
        server: fixture.incarnation("encode-0"),
        address: "127.0.0.1:9000".parse().unwrap(),
        age: ms(0),
    };
    spec.retained = vec![piece(7, 0), piece(0, 7)];

    fixture.submit(spec);

    assert_eq!(fixture.next_batch().items.len(), 1);
}

/// A request skips a stage that depends on another one. Nothing is stored for it, so the stage
/// before is computed as usual: only results under an earlier owner can have been read already.
#[test]
fn a_stage_before_a_skipped_stage_is_computed() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 1_000), (RETRIEVE, 0, 1_000)]);

    fixture.submit(spec);

    assert_eq!(fixture.next_batch().service.as_str(), ENCODE);
}

//! Jobs with several stages that depend on the same results.

use amaranthscale_core::id::ResultHandle;
use amaranthscale_core::process::{Batch, BatchEnd, JobEvent, JobId, PieceEnd, PieceInput};

use super::fixture::{ENCODE, Fixture, RERANK, RETRIEVE};
use super::retained_results::reported_results;

/// Two stages that both depend on a first one.
const STAGES: [(&str, usize, u64); 3] = [(ENCODE, 2, 100), (RETRIEVE, 2, 100), (RERANK, 1, 100)];

/// A job whose first stage is completed, and the calls of the two stages that depend on it.
struct Started {
    fixture: Fixture,
    job: JobId,
    inputs: Vec<ResultHandle>,
    retrieve: Batch,
    rerank: Batch,
}

fn start() -> Started {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.fan_out(&STAGES);
    let job = fixture.submit(spec);
    let encode = fixture.next_batch();
    fixture.advance(220);
    let inputs = fixture.complete(&encode);
    let [rerank, retrieve] = fixture.next_batches().try_into().unwrap();
    assert_eq!(rerank.service.as_str(), RERANK);
    assert_eq!(retrieve.service.as_str(), RETRIEVE);
    Started {
        fixture,
        job,
        inputs,
        retrieve,
        rerank,
    }
}

/// As [`start`]; then the call of the second stage finds its inputs missing.
fn start_and_lose_inputs() -> Started {
    let mut started = start();
    started.fixture.advance(50);
    let missing = BatchEnd::Pieces(vec![PieceEnd::InputMissing; 2]);
    started.fixture.end(&started.retrieve, missing);
    started
}

fn inputs_of(batch: &Batch) -> Vec<&PieceInput> {
    batch.items.iter().map(|item| &item.input).collect()
}

/// Completes the recomputed first stage, and checks that the stages get its new results and the job
/// is done.
fn complete_after_recomputation(mut started: Started) {
    let fixture = &mut started.fixture;
    let encode = fixture.next_batch();
    assert_eq!(encode.service.as_str(), ENCODE);
    fixture.advance(100);
    assert!(fixture.next_batches().is_empty());
    fixture.advance(120);
    let completed = fixture.complete(&encode);
    assert!(
        completed
            .iter()
            .all(|handle| !started.inputs.contains(handle))
    );
    let batches = fixture.next_batches();
    let services: Vec<_> = batches.iter().map(|batch| batch.service.as_str()).collect();
    assert_eq!(services, [RERANK, RETRIEVE]);
    let expected = PieceInput::Results(completed);
    fixture.advance(220);
    for batch in &batches {
        assert!(inputs_of(batch).iter().all(|input| **input == expected));
        fixture.complete(batch);
    }
    let events = fixture.events();
    assert!(matches!(&events[..], [JobEvent::Done(job, _, _)] if *job == started.job));
}

/// Guards against pieces that are sent with the request's key in place of lost inputs: both stages
/// that depend on the inputs find them missing.
#[test]
fn stages_whose_calls_both_find_inputs_missing_wait_for_the_recomputed_ones() {
    let mut started = start_and_lose_inputs();

    let missing = BatchEnd::Pieces(vec![PieceEnd::InputMissing]);
    started.fixture.end(&started.rerank, missing);

    complete_after_recomputation(started);
}

/// Guards against pieces that are sent without inputs: their call fails while the inputs are
/// recomputed for another stage.
#[test]
fn a_stage_whose_call_fails_during_a_recomputation_waits_for_its_inputs() {
    let mut started = start_and_lose_inputs();

    let failed = BatchEnd::Pieces(vec![PieceEnd::Failed]);
    started.fixture.end(&started.rerank, failed);

    complete_after_recomputation(started);
}

/// Guards against pieces that are sent without inputs: their call is rejected while the inputs are
/// recomputed for another stage.
#[test]
fn a_stage_whose_call_is_rejected_during_a_recomputation_waits_for_its_inputs() {
    let mut started = start_and_lose_inputs();

    started.fixture.end(&started.rerank, BatchEnd::Rejected);

    complete_after_recomputation(started);
}

/// Guards against pieces that are sent without inputs: they wait for a server when another stage
/// finds the inputs missing.
#[test]
fn a_waiting_stage_waits_for_inputs_that_another_stage_found_missing() {
    let mut fixture = Fixture::new(&["north"]);
    let busy = fixture.chain(&[(RERANK, 10, 100)]);
    fixture.submit(busy);
    let busy = fixture.next_batch();
    let spec = fixture.fan_out(&STAGES);
    fixture.submit(spec);
    let encode = fixture.next_batch();
    fixture.advance(220);
    fixture.complete(&encode);
    let retrieve = fixture.next_batch();
    assert_eq!(retrieve.service.as_str(), RETRIEVE);
    fixture.advance(10);

    fixture.end(&retrieve, BatchEnd::Pieces(vec![PieceEnd::InputMissing; 2]));
    fixture.complete(&busy);

    let encode = fixture.next_batch();
    assert_eq!(encode.service.as_str(), ENCODE);
    fixture.advance(220);
    let completed = PieceInput::Results(fixture.complete(&encode));
    let batches = fixture.next_batches();
    assert_eq!(batches.len(), 2);
    let mut inputs = batches.iter().flat_map(inputs_of);
    assert!(inputs.all(|input| *input == completed));
}

/// Guards against pieces that are sent with only some of their inputs: their call fails after a
/// server that stored one of the inputs has restarted.
#[test]
fn a_stage_whose_call_fails_after_a_restart_waits_for_all_inputs() {
    let mut fixture = Fixture::new(&["north", "south"]);
    let spec = fixture.fan_out(&[(ENCODE, 12, 100), (RETRIEVE, 12, 100), (RERANK, 1, 100)]);
    fixture.submit(spec);
    let encode = fixture.next_batches();
    assert_eq!(encode.len(), 2, "the inputs are stored at two servers");
    fixture.advance(320);
    for batch in &encode {
        fixture.complete(batch);
    }
    let started = fixture.next_batches();
    let rerank = started
        .iter()
        .find(|batch| batch.service.as_str() == RERANK);
    let retrieve = started
        .iter()
        .filter(|batch| batch.service.as_str() == RETRIEVE);
    fixture.advance(10);
    for batch in retrieve {
        fixture.end(batch, BatchEnd::Rejected);
    }

    fixture.restart(encode[0].server.id().as_str());
    fixture.end(rerank.unwrap(), BatchEnd::Pieces(vec![PieceEnd::Failed]));
    fixture.advance(100);

    let again = fixture.next_batches();
    let mut services = again.iter().map(|batch| batch.service.as_str());
    assert!(services.all(|service| service == ENCODE), "{again:?}");
    fixture.advance(320);
    for batch in &again {
        fixture.complete(batch);
    }
    for batch in fixture.next_batches() {
        let mut inputs = inputs_of(&batch).into_iter();
        assert!(inputs.all(|input| matches!(input, PieceInput::Results(all) if all.len() == 12)));
    }
}

/// Guards against pieces that are sent with only some of their inputs: the next owner gets the
/// results of one of two stages while those of the stage before are lost.
#[test]
fn a_next_owner_sends_no_stage_before_its_inputs_are_recomputed() {
    let mut started = start();
    let fixture = &mut started.fixture;
    let mut spec = fixture.fan_out(&STAGES);
    fixture.advance(200);
    fixture.complete(&started.rerank);
    let reported = reported_results(fixture).into_iter();
    spec.retained = reported.filter(|result| result.piece == 0).collect();
    fixture.change_owner();

    fixture.submit(spec);

    let encode = fixture.next_batch();
    assert_eq!(encode.service.as_str(), ENCODE);
    assert_eq!(encode.items.len(), 1, "one of the two results is retained");
    fixture.advance(220);
    fixture.complete(&encode);
    let retrieve = fixture.next_batch();
    assert_eq!(retrieve.service.as_str(), RETRIEVE);
    assert!(
        inputs_of(&retrieve)
            .iter()
            .all(|input| matches!(input, PieceInput::Results(all) if all.len() == 2))
    );
}

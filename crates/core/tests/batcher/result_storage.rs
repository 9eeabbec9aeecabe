//! Accounting of the servers' result storage.

use amaranthscale_core::process::{BatchEnd, PieceEnd, ServerLoad};

use super::fixture::{ENCODE, Fixture, RETRIEVE, ms};

#[test]
fn a_call_is_limited_to_the_free_storage() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 10, 300_000)]);
    fixture.submit(spec);

    let batch = fixture.next_batch();

    assert_eq!(batch.items.len(), 3);
}

#[test]
fn storage_is_available_again_when_the_server_has_freed_the_results() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 3, 300_000)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(250);
    fixture.complete(&batch);
    let spec = fixture.chain(&[(ENCODE, 3, 300_000)]);
    fixture.submit(spec);
    assert!(fixture.next_batches().is_empty(), "the storage is occupied");

    fixture.batcher.release(job);
    assert!(
        fixture.next_batches().is_empty(),
        "the server still stores the results"
    );
    fixture.freed();

    assert_eq!(fixture.next_batch().items.len(), 3);
}

/// Results occupy storage from the start of their call. If they were retained until the calls that
/// read them have ended, they would fill the servers, and pieces would wait although servers are
/// free.
#[test]
fn inputs_are_freed_soon_after_the_start_of_the_call_that_reads_them() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 2, 100), (RETRIEVE, 1, 100)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.advance(1_100);
    let inputs = fixture.complete(&first);
    let _second = fixture.next_batch();
    assert!(fixture.freed().is_empty(), "the inputs are not read yet");

    fixture.advance(100);
    fixture.next_batches();

    assert_eq!(fixture.freed(), inputs);
}

/// Another owner's call runs at a server. A call that is sent there is queued and reads its inputs
/// later, so inputs that are freed early would be missing.
#[test]
fn inputs_are_retained_until_the_call_ends_while_servers_are_shared() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 1, 100)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.advance(1_100);
    let other = ServerLoad {
        running: 1,
        waiting: 0,
        slots: 1,
    };
    let handle = fixture.handle();
    let completed = BatchEnd::Pieces(vec![PieceEnd::Completed(handle.clone())]);
    fixture
        .batcher
        .batch_ended(first.id, completed, Some(other), fixture.now);
    let second = fixture.next_batch();

    fixture.advance(150);
    fixture.next_batches();
    assert!(fixture.freed().is_empty());

    fixture.complete(&second);
    assert_eq!(fixture.freed(), [handle]);
}

#[test]
fn results_of_a_released_request_are_freed_when_completed() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 2, 100)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();

    fixture.batcher.release(job);
    fixture.advance(220);
    let completed = fixture.complete(&batch);

    assert_eq!(fixture.freed(), completed);
    assert!(fixture.events().is_empty());
}

/// A server becomes slow, and its call times out. The server goes on with the call and stores the
/// results under handles that the owner does not know: they occupy storage until they expire.
#[test]
fn results_of_a_timed_out_call_occupy_storage_until_they_expire() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 3, 300_000)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(1_000);

    fixture.end(&batch, BatchEnd::NoAnswer);

    fixture.advance(700);
    assert!(fixture.next_batches().is_empty());
    fixture.advance(1_000);
    assert_eq!(fixture.next_batch().items.len(), 1);
}

/// An owner dies, and nobody frees the results of its requests. The next owner finds servers
/// without free storage; it must not go on sending calls that compute nothing, and must use the
/// storage as the results expire.
#[test]
fn a_server_filled_by_another_owner_is_used_again_as_results_expire() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 3, 300_000)]);
    fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(230);

    fixture.end(&batch, BatchEnd::Pieces(vec![PieceEnd::StorageFull; 3]));

    fixture.advance(100);
    assert!(fixture.next_batches().is_empty());
    fixture.advance(1_500);
    assert_eq!(fixture.next_batch().items.len(), 1);
    assert!(fixture.now > ms(0));
}

/// Sizes of results are approximate, so a server sometimes has no storage for the last piece of a
/// call. If it were assumed to be full, it would get hardly any pieces for seconds, and requests
/// would wait although it has storage: what was freed during the call is free.
#[test]
fn storage_freed_during_a_call_stays_free_when_one_result_does_not_fit() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 300_000)]);
    let earlier = fixture.submit(spec);
    let batch = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&batch);
    let spec = fixture.chain(&[(ENCODE, 2, 300_000)]);
    let job = fixture.submit(spec);
    let batch = fixture.next_batch();
    assert_eq!(batch.items.len(), 2);
    fixture.batcher.release(earlier);
    fixture.freed();
    fixture.advance(220);

    let completed = PieceEnd::Completed(fixture.handle());
    fixture.end(
        &batch,
        BatchEnd::Pieces(vec![completed, PieceEnd::StorageFull]),
    );
    fixture.batcher.release(job);
    fixture.freed();

    let spec = fixture.chain(&[(ENCODE, 3, 300_000)]);
    fixture.submit(spec);
    assert_eq!(fixture.next_batch().items.len(), 2);
}

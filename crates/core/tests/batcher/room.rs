//! The account of servers' room for results.

use amaranthscale_core::process::{BatchEnd, PieceEnd, ServerLoad};

use super::bench::{Bench, ENCODE, RETRIEVE, ms};

#[test]
fn results_beyond_a_servers_room_are_not_asked_for() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 10, 300_000)]);
    bench.submit(order);

    let batch = bench.next_batch();

    assert_eq!(batch.items.len(), 3);
}

#[test]
fn room_comes_back_when_the_server_has_dropped_the_results() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 3, 300_000)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(250);
    bench.make(&batch);
    let order = bench.chain(&[(ENCODE, 3, 300_000)]);
    bench.submit(order);
    assert!(bench.next_batches().is_empty(), "the room is taken");

    bench.batcher.release(job);
    assert!(
        bench.next_batches().is_empty(),
        "the server still keeps the results"
    );
    bench.freed();

    assert_eq!(bench.next_batch().items.len(), 3);
}

/// Results take room at their makers from the start of their call. Kept until the calls that read
/// them have ended, they fill the servers, and pieces wait though the servers are free.
#[test]
fn inputs_are_freed_soon_after_the_call_that_reads_them_began() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 2, 100), (RETRIEVE, 1, 100)]);
    bench.submit(order);
    let first = bench.next_batch();
    bench.advance(1_100);
    let inputs = bench.make(&first);
    let _second = bench.next_batch();
    assert!(bench.freed().is_empty(), "the inputs are not read yet");

    bench.advance(100);
    bench.next_batches();

    assert_eq!(bench.freed(), inputs);
}

/// Another owner's call is at work at a server. A call sent there waits for its turn and reads its
/// inputs later, so that inputs which are freed early would be gone.
#[test]
fn inputs_are_kept_until_the_end_while_another_owner_uses_the_servers() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 100), (RETRIEVE, 1, 100)]);
    bench.submit(order);
    let first = bench.next_batch();
    bench.advance(1_100);
    let other = ServerLoad {
        running: 1,
        waiting: 0,
        slots: 1,
    };
    let handle = bench.handle();
    let made = BatchEnd::Pieces(vec![PieceEnd::Completed(handle.clone())]);
    bench
        .batcher
        .batch_ended(first.id, made, Some(other), bench.now);
    let second = bench.next_batch();

    bench.advance(150);
    bench.next_batches();
    assert!(bench.freed().is_empty());

    bench.make(&second);
    assert_eq!(bench.freed(), [handle]);
}

#[test]
fn a_request_that_left_has_its_results_freed_when_they_are_made() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 2, 100)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();

    bench.batcher.release(job);
    bench.advance(220);
    let made = bench.make(&batch);

    assert_eq!(bench.freed(), made);
    assert!(bench.events().is_empty());
}

/// A server turns slow, and its call is given up. It goes on with the call and keeps the results
/// under handles that nobody knows: their room is taken until they lapse.
#[test]
fn results_of_a_call_that_was_given_up_take_room_until_they_lapse() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 3, 300_000)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(1_000);

    bench.end(&batch, BatchEnd::NoAnswer);

    bench.advance(700);
    assert!(bench.next_batches().is_empty());
    bench.advance(1_000);
    assert_eq!(bench.next_batch().items.len(), 1);
}

/// An owner dies, and nobody frees the results of its requests. Its successor finds servers without
/// room; it must not go on sending calls that make nothing, and use the room as the results lapse.
#[test]
fn a_server_filled_by_others_is_used_again_as_their_results_lapse() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 3, 300_000)]);
    bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(230);

    bench.end(&batch, BatchEnd::Pieces(vec![PieceEnd::StorageFull; 3]));

    bench.advance(100);
    assert!(bench.next_batches().is_empty());
    bench.advance(1_500);
    assert_eq!(bench.next_batch().items.len(), 1);
    assert!(bench.now > ms(0));
}

/// Sizes of results are approximate, so a server now and then has no room for the last piece of a
/// call. Taken for full in all, it would get hardly a piece for seconds, and requests would wait
/// though it had room: what was freed while the call ran is free.
#[test]
fn a_server_without_room_for_one_piece_keeps_the_room_that_was_freed_meanwhile() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, 300_000)]);
    let earlier = bench.submit(order);
    let batch = bench.next_batch();
    bench.advance(210);
    bench.make(&batch);
    let order = bench.chain(&[(ENCODE, 2, 300_000)]);
    let job = bench.submit(order);
    let batch = bench.next_batch();
    assert_eq!(batch.items.len(), 2);
    bench.batcher.release(earlier);
    bench.freed();
    bench.advance(220);

    let made = PieceEnd::Completed(bench.handle());
    bench.end(&batch, BatchEnd::Pieces(vec![made, PieceEnd::StorageFull]));
    bench.batcher.release(job);
    bench.freed();

    let order = bench.chain(&[(ENCODE, 3, 300_000)]);
    bench.submit(order);
    assert_eq!(bench.next_batch().items.len(), 2);
}

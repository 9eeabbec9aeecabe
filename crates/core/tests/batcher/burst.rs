//! What a burst costs the owner: the number of waiting stages it examines, whatever they wait for.

use amaranthscale_core::process::JobEvent;

use super::fixture::{CAPACITY_BYTES, ENCODE, Fixture, ms};

/// Nearly the whole storage of a server.
const LARGE_RESULT_BYTES: u64 = CAPACITY_BYTES / 10 * 9;

/// Stages that are examined while a number of requests wait for free servers without free storage.
fn examined_without_storage(waiting: usize) -> u64 {
    let mut fixture = Fixture::new(&["north"; 4]);
    for _ in 0..4 {
        let spec = fixture.chain(&[(ENCODE, 1, LARGE_RESULT_BYTES)]);
        fixture.submit(spec);
    }
    for batch in fixture.next_batches() {
        fixture.complete(&batch);
    }
    for _ in 0..waiting {
        let mut spec = fixture.chain(&[(ENCODE, 1, LARGE_RESULT_BYTES)]);
        spec.target_latency_left = ms(60_000);
        fixture.submit(spec);
    }
    let before = fixture.batcher.examined_stages();
    assert!(fixture.next_batches().is_empty());
    fixture.batcher.examined_stages() - before
}

/// Engines read large results late, and all servers are free but out of storage. Each free server
/// searched the whole queue at each event, so the owner had less time the longer the queue was, and
/// never recovered from a burst.
#[test]
fn stages_examined_without_free_storage_do_not_grow_with_the_queue() {
    assert_eq!(
        examined_without_storage(20),
        examined_without_storage(2_000)
    );
}

/// On-time requests wait for the busy server near their reader, and late ones for spare capacity,
/// of which there is none. For the free server, the search must stop at the first late request,
/// however many wait.
#[test]
fn the_search_stops_at_the_first_late_request_without_spare_capacity() {
    let mut fixture = Fixture::new(&["north", "south"]);
    let spec = fixture.chain(&[(ENCODE, 1, 200_000)]);
    fixture.submit(spec);
    let running = fixture.next_batch();
    assert_eq!(running.zone.as_str(), "north");
    let in_time = 4;
    for _ in 0..in_time {
        let spec = fixture.chain(&[(ENCODE, 5, 110_000)]);
        fixture.submit(spec);
    }
    for _ in 0..30 {
        let mut spec = fixture.chain(&[(ENCODE, 1, 100)]);
        spec.target_latency_left = ms(50);
        fixture.submit(spec);
    }
    fixture.advance(20);
    let before = fixture.batcher.examined_stages();

    assert!(fixture.next_batches().is_empty());

    assert_eq!(fixture.batcher.examined_stages() - before, in_time + 1);
}

/// Large results wait for storage. Small ones behind them fit, and must not wait as well.
#[test]
fn a_small_result_is_sent_where_no_large_one_fits() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 1, LARGE_RESULT_BYTES)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.complete(&first);
    for _ in 0..50 {
        let spec = fixture.chain(&[(ENCODE, 1, LARGE_RESULT_BYTES)]);
        fixture.submit(spec);
    }
    let small = fixture.chain(&[(ENCODE, 1, 100)]);
    let call = small.call.clone();
    let job = fixture.submit(small);

    let batch = fixture.next_batch();
    fixture.complete(&batch);

    assert_eq!(batch.items.len(), 1);
    assert_eq!(batch.items[0].call, call);
    let is_its = |event: &JobEvent| matches!(event, JobEvent::Done(done, ..) if *done == job);
    assert!(fixture.events().iter().any(is_its));
}

/// Number of calls to four free servers for the pieces of eight requests, after a number of
/// requests with ten pieces each.
fn calls_after_load(requests: usize) -> usize {
    let mut fixture = Fixture::new(&["north"; 4]);
    for _ in 0..requests {
        let spec = fixture.chain(&[(ENCODE, 10, 10)]);
        fixture.submit(spec);
        for batch in fixture.next_batches() {
            fixture.complete(&batch);
        }
    }
    for _ in 0..8 {
        let spec = fixture.chain(&[(ENCODE, 1, 10)]);
        fixture.submit(spec);
    }
    fixture.next_batches().len()
}

/// A service has a load close to what its servers complete in full calls. If pieces were spread two
/// by two over all servers that happen to be free, they would take all servers' time, and the next
/// pieces would find none free.
#[test]
fn pieces_are_spread_over_servers_only_at_low_load() {
    assert_eq!(calls_after_load(0), 4);
    assert_eq!(calls_after_load(24), 1);
}

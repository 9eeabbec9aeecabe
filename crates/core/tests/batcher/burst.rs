//! What a burst costs the owner: looks at what waits, whatever it is that cannot go on.

use amaranthscale_core::process::JobEvent;

use super::bench::{Bench, ENCODE, ROOM_BYTES, ms};

/// Nearly all of a server's room.
const LARGE_BYTES: u64 = ROOM_BYTES / 10 * 9;

/// Stages that are looked at when so many requests wait for servers that are free but full.
fn looked_at_without_room(waiting: usize) -> u64 {
    let mut bench = Bench::new(&["north"; 4]);
    for _ in 0..4 {
        let order = bench.chain(&[(ENCODE, 1, LARGE_BYTES)]);
        bench.submit(order);
    }
    for batch in bench.next_batches() {
        bench.make(&batch);
    }
    for _ in 0..waiting {
        let mut order = bench.chain(&[(ENCODE, 1, LARGE_BYTES)]);
        order.target_latency_left = ms(60_000);
        bench.submit(order);
    }
    let before = bench.batcher.examined_stages();
    assert!(bench.next_batches().is_empty());
    bench.batcher.examined_stages() - before
}

/// Engines read large results late, and all servers are free but out of room. Each free server
/// looked at the whole queue at each event, so the owner had less time the longer the queue was,
/// and after a burst it never came back.
#[test]
fn servers_without_room_look_at_no_more_the_more_waits() {
    assert_eq!(looked_at_without_room(20), looked_at_without_room(2_000));
}

/// Requests that are in time wait for the busy server near their reader, and late ones for spare time,
/// which there is none of. The free server must see that at the first late one, however many wait.
#[test]
fn late_requests_without_spare_time_are_seen_once() {
    let mut bench = Bench::new(&["north", "south"]);
    let order = bench.chain(&[(ENCODE, 1, 200_000)]);
    bench.submit(order);
    let running = bench.next_batch();
    assert_eq!(running.zone.as_str(), "north");
    let in_time = 4;
    for _ in 0..in_time {
        let order = bench.chain(&[(ENCODE, 5, 110_000)]);
        bench.submit(order);
    }
    for _ in 0..30 {
        let mut order = bench.chain(&[(ENCODE, 1, 100)]);
        order.target_latency_left = ms(50);
        bench.submit(order);
    }
    bench.advance(20);
    let before = bench.batcher.examined_stages();

    assert!(bench.next_batches().is_empty());

    assert_eq!(bench.batcher.examined_stages() - before, in_time + 1);
}

/// Large results wait for room. Small ones behind them fit, and must not wait for it.
#[test]
fn a_small_result_goes_where_no_large_one_fits() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 1, LARGE_BYTES)]);
    bench.submit(order);
    let first = bench.next_batch();
    bench.make(&first);
    for _ in 0..50 {
        let order = bench.chain(&[(ENCODE, 1, LARGE_BYTES)]);
        bench.submit(order);
    }
    let small = bench.chain(&[(ENCODE, 1, 100)]);
    let call = small.call.clone();
    let job = bench.submit(small);

    let batch = bench.next_batch();
    bench.make(&batch);

    assert_eq!(batch.items.len(), 1);
    assert_eq!(batch.items[0].call, call);
    let is_its = |event: &JobEvent| matches!(event, JobEvent::Done(done, ..) if *done == job);
    assert!(bench.events().iter().any(is_its));
}

/// Calls that eight requests' pieces go in to four free servers, after so many requests of ten pieces.
fn calls_after(requests: usize) -> usize {
    let mut bench = Bench::new(&["north"; 4]);
    for _ in 0..requests {
        let order = bench.chain(&[(ENCODE, 10, 10)]);
        bench.submit(order);
        for batch in bench.next_batches() {
            bench.make(&batch);
        }
    }
    for _ in 0..8 {
        let order = bench.chain(&[(ENCODE, 1, 10)]);
        bench.submit(order);
    }
    bench.next_batches().len()
}

/// A service is asked for nearly as much as its servers make in full calls. Spread two by two over all
/// that happen to be free, pieces take all servers' time, and those that come next find none free.
#[test]
fn pieces_are_spread_thin_only_while_servers_have_time() {
    assert_eq!(calls_after(0), 4);
    assert_eq!(calls_after(24), 1);
}

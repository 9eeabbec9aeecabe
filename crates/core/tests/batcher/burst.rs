//! What a burst costs the owner: looks at what waits, whatever it is that cannot go on.

use amaranthscale_core::process::JobEvent;

use super::bench::{Bench, ENCODE, RETRIEVE, ROOM_BYTES, ms};

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
        order.aim_left = ms(60_000);
        bench.submit(order);
    }
    let before = bench.batcher.looked_at();
    assert!(bench.next_batches().is_empty());
    bench.batcher.looked_at() - before
}

/// Engines read large results late, and all servers are free but out of room. Each free server
/// looked at the whole queue at each event, so the owner had less time the longer the queue was,
/// and after a burst it never came back.
#[test]
fn servers_without_room_look_at_no_more_the_more_waits() {
    assert_eq!(looked_at_without_room(20), looked_at_without_room(2_000));
}

/// Late requests wait for spare time that their service does not have. Each free server must see
/// that at the first of them.
#[test]
fn late_requests_without_spare_time_are_seen_once() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(RETRIEVE, 10, 100)]);
    bench.submit(order);
    let _running = bench.next_batch();
    for _ in 0..40 {
        let order = bench.chain(&[(RETRIEVE, 10, 100)]);
        let _ = bench.batcher.submit(order, bench.now);
    }
    bench.advance(2_000);
    bench.next_batches();
    bench.advance(20);
    let before = bench.batcher.looked_at();

    bench.next_batches();

    assert!(bench.batcher.looked_at() - before <= 1);
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

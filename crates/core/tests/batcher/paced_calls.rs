//! Sizes of calls to slow servers.

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::Batcher;

use super::fixture::{ENCODE, Fixture, ms};

/// Sizes of the next calls to two servers, after the first one has taken a multiple of the usual
/// time for its calls; the slow server's is the first.
fn sizes_after(is_paced: bool, slowness: u64) -> [usize; 2] {
    let mut fixture = Fixture::new(&["north", "south"]);
    fixture.batcher = Batcher::new().with_paced_calls(is_paced);
    fixture.set_servers(&["north", "south"]);
    let slow: ServerIncarnation = fixture.incarnation("encode-0");
    submit(&mut fixture);
    loop {
        let batches = fixture.next_batches();
        if batches.is_empty() {
            break;
        }
        let (at_slow, others): (Vec<_>, Vec<_>) =
            batches.into_iter().partition(|batch| batch.server == slow);
        let sent_at = fixture.now;
        for (batches, slowness) in [(others, 1), (at_slow, slowness)] {
            for batch in batches {
                let pieces = u64::try_from(batch.items.len()).unwrap();
                fixture.now = sent_at + ms((200 + 10 * pieces) * slowness);
                fixture.complete(&batch);
            }
        }
    }
    submit(&mut fixture);
    let batches = fixture.next_batches();
    let size = |is_slow| {
        let mut of_server = batches
            .iter()
            .filter(|batch| (batch.server == slow) == is_slow);
        of_server.next().map_or(0, |batch| batch.items.len())
    };
    [size(true), size(false)]
}

/// Submits enough pieces for some full calls to each of two servers.
fn submit(fixture: &mut Fixture) {
    for _ in 0..30 {
        let mut spec = fixture.chain(&[(ENCODE, 2, 1_000)]);
        spec.deadline_left = ms(60_000);
        spec.target_latency_left = ms(30_000);
        fixture.submit(spec);
    }
}

/// Guards against a full call's pieces that all wait for a slow server, and against a slow server
/// that gets no call which would show that it has recovered.
#[test]
fn a_slow_server_gets_fewer_pieces_in_a_call() {
    let [slow, usual] = sizes_after(true, 4);

    assert!((1..=4).contains(&slow), "{slow}");
    assert_eq!(usual, 10);
}

#[test]
fn calls_are_as_large_as_before_at_equal_pace_and_where_it_is_disabled() {
    assert_eq!(sizes_after(true, 1), [10, 10]);
    assert_eq!(sizes_after(false, 4), [10, 10]);
}

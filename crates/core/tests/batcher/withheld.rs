//! Servers of evacuated zones, and cold ones.

use amaranthscale_core::process::{BatchEnd, JobEvent, JobFailure, ServerAvailability};

use super::bench::{Bench, ENCODE, RETRIEVE, ms};

/// Operators evacuate a zone while pieces wait. They would go to its servers as they become free;
/// all must be made in the other zone.
#[test]
fn an_evacuated_zone_gets_no_calls() {
    let mut bench = Bench::new(&["north", "south"]);
    bench.set_use("south", ServerAvailability::Evacuated);

    for _ in 0..20 {
        let order = bench.chain(&[(ENCODE, 4, 1_000)]);
        bench.submit(order);
        for batch in bench.next_batches() {
            assert_eq!(batch.zone.as_str(), "north");
            bench.make(&batch);
        }
        bench.advance(300);
    }
}

/// A zone is evacuated in the middle of a request: what was made there is still read elsewhere, so
/// nothing is made anew, and what its server took of room is remembered when it is taken back.
#[test]
fn what_an_evacuated_zone_made_is_used() {
    let mut bench = Bench::new(&["north", "south"]);
    bench.set_use("north", ServerAvailability::Evacuated);
    let order = bench.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 2, 1_000)]);
    bench.submit(order);
    let first = bench.next_batch();
    assert_eq!(first.zone.as_str(), "south");
    bench.advance(220);
    bench.make(&first);

    bench.set_use("south", ServerAvailability::Evacuated);
    bench.set_use("north", ServerAvailability::Free);
    let second = bench.next_batch();

    assert_eq!(second.zone.as_str(), "north");
    assert_eq!(second.service.as_str(), RETRIEVE);
    assert_eq!(second.items.len(), 2);
}

/// The only zone of a service is evacuated while callers' pieces wait there. Held to the end of their
/// time, the callers could not come back; they are told at once, and new ones as well.
#[test]
fn what_no_zone_may_make_is_ended_at_once() {
    let mut bench = Bench::new(&["north"]);
    let order = bench.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 2, 1_000)]);
    let job = bench.submit(order);
    let first = bench.next_batch();

    bench.set_use("north", ServerAvailability::Evacuated);
    bench.advance(30);
    assert!(bench.next_batches().is_empty());

    assert_eq!(
        bench.events(),
        [JobEvent::Failed(job, JobFailure::NoServer)]
    );
    let again = bench.chain(&[(ENCODE, 2, 1_000)]);
    let refused = bench.batcher.submit(again, bench.now).unwrap_err();
    assert_eq!(refused.reason, JobFailure::NoServer);
    bench.make(&first);
}

/// A call was formed just before the owner heard of the evacuation, and is withheld as it is about
/// to leave. Its pieces are made elsewhere, and the server is not taken for sick.
#[test]
fn a_withheld_call_is_made_elsewhere() {
    let mut bench = Bench::new(&["north", "south"]);
    bench.set_use("south", ServerAvailability::Evacuated);
    let order = bench.chain(&[(ENCODE, 3, 1_000)]);
    bench.submit(order);
    let withheld = bench.next_batch();

    bench.set_use("north", ServerAvailability::Evacuated);
    bench.set_use("south", ServerAvailability::Free);
    bench.end(&withheld, BatchEnd::NotSent);
    let again = bench.next_batch();

    assert_eq!(again.zone.as_str(), "south");
    assert_eq!(again.items.len(), 3);
}

/// A server of a stage has just started and takes three calls a second. Two owners may act at once
/// for a moment, so each gives it half of that.
#[test]
fn a_cold_server_gets_the_owners_share_of_calls() {
    let mut bench = Bench::new(&["north"]);
    let until = bench.now + ms(5_000);
    let cold = ServerAvailability::Cold {
        until,
        max_per_s: 4.0,
    };
    bench.set_use("north", cold);
    let mut calls_at = Vec::new();

    while bench.now < until + ms(1_000) {
        let order = bench.chain(&[(ENCODE, 1, 10)]);
        // One that cannot be in time is refused, which is no matter here.
        let _ = bench.batcher.submit(order, bench.now);
        for batch in bench.next_batches() {
            calls_at.push(bench.now);
            bench.make(&batch);
        }
        bench.advance(20);
    }

    let within = |start| {
        calls_at
            .iter()
            .filter(move |at| **at >= start && **at < start + ms(1_000))
    };
    let cold_calls = calls_at.iter().filter(|at| **at < until);
    assert!(cold_calls.clone().count() >= 8, "{calls_at:?}");
    assert!(
        cold_calls
            .clone()
            .all(|at| within(*at).count() <= 2 || *at + ms(1_000) > until)
    );
    assert!(within(until).count() > 2, "{calls_at:?}");
}

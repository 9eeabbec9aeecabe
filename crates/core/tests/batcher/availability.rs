//! Servers of evacuated zones, and cold servers.

use amaranthscale_core::process::{BatchEnd, JobEvent, JobFailure, ServerAvailability};

use super::fixture::{ENCODE, Fixture, RETRIEVE, ms};

/// Operators evacuate a zone while pieces wait. They would be sent to its servers as these become
/// free; all must be computed in the other zone.
#[test]
fn an_evacuated_zone_gets_no_calls() {
    let mut fixture = Fixture::new(&["north", "south"]);
    fixture.set_availability("south", ServerAvailability::Evacuated);

    for _ in 0..20 {
        let spec = fixture.chain(&[(ENCODE, 4, 1_000)]);
        fixture.submit(spec);
        for batch in fixture.next_batches() {
            assert_eq!(batch.zone.as_str(), "north");
            fixture.complete(&batch);
        }
        fixture.advance(300);
    }
}

/// A zone is evacuated in the middle of a request. Its results are still read from there, so
/// nothing is recomputed, and the storage that they occupy still counts when the zone is taken
/// back.
#[test]
fn results_of_an_evacuated_zone_are_used() {
    let mut fixture = Fixture::new(&["north", "south"]);
    fixture.set_availability("north", ServerAvailability::Evacuated);
    let spec = fixture.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 2, 1_000)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    assert_eq!(first.zone.as_str(), "south");
    fixture.advance(220);
    fixture.complete(&first);

    fixture.set_availability("south", ServerAvailability::Evacuated);
    fixture.set_availability("north", ServerAvailability::Free);
    let second = fixture.next_batch();

    assert_eq!(second.zone.as_str(), "north");
    assert_eq!(second.service.as_str(), RETRIEVE);
    assert_eq!(second.items.len(), 2);
}

/// The only zone of a service is evacuated while callers' pieces wait. If the callers were kept
/// waiting until their deadlines, they could not retry; they are refused at once, as are new ones.
#[test]
fn jobs_without_a_usable_zone_fail_at_once() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 2, 1_000), (RETRIEVE, 2, 1_000)]);
    let job = fixture.submit(spec);
    let first = fixture.next_batch();

    fixture.set_availability("north", ServerAvailability::Evacuated);
    fixture.advance(30);
    assert!(fixture.next_batches().is_empty());

    assert_eq!(
        fixture.events(),
        [JobEvent::Failed(job, JobFailure::NoServer)]
    );
    let again = fixture.chain(&[(ENCODE, 2, 1_000)]);
    let refused = fixture.batcher.submit(again, fixture.now).unwrap_err();
    assert_eq!(refused.reason, JobFailure::NoServer);
    fixture.complete(&first);
}

/// A call was formed just before the owner learnt of the evacuation, and is withheld when it is
/// about to be sent. Its pieces go to another server, and the server is not ejected.
#[test]
fn pieces_of_a_withheld_call_go_to_another_server() {
    let mut fixture = Fixture::new(&["north", "south"]);
    fixture.set_availability("south", ServerAvailability::Evacuated);
    let spec = fixture.chain(&[(ENCODE, 3, 1_000)]);
    fixture.submit(spec);
    let withheld = fixture.next_batch();

    fixture.set_availability("north", ServerAvailability::Evacuated);
    fixture.set_availability("south", ServerAvailability::Free);
    fixture.end(&withheld, BatchEnd::NotSent);
    let again = fixture.next_batch();

    assert_eq!(again.zone.as_str(), "south");
    assert_eq!(again.items.len(), 3);
}

/// A stage server has just started and accepts four calls a second. Two owners may be active at
/// once for a moment, so each uses half of that.
#[test]
fn a_cold_server_gets_the_owners_share_of_calls() {
    let mut fixture = Fixture::new(&["north"]);
    let until = fixture.now + ms(5_000);
    let cold = ServerAvailability::Cold {
        until,
        max_per_s: 4.0,
    };
    fixture.set_availability("north", cold);
    let mut calls_at = Vec::new();

    while fixture.now < until + ms(1_000) {
        let spec = fixture.chain(&[(ENCODE, 1, 10)]);
        // A request that cannot be in time is refused, which does not matter here.
        let _ = fixture.batcher.submit(spec, fixture.now);
        for batch in fixture.next_batches() {
            calls_at.push(fixture.now);
            fixture.complete(&batch);
        }
        fixture.advance(20);
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

/// Guards against calls to servers that want none, and against jobs that are refused although the
/// servers take calls again in time.
#[test]
fn jobs_wait_for_servers_that_back_off_if_their_time_allows() {
    let mut fixture = Fixture::new(&["north"]);
    let until = fixture.now + ms(100);
    fixture.set_availability("north", ServerAvailability::BackingOff { until });
    let spec = fixture.chain(&[(ENCODE, 2, 1_000)]);

    let job = fixture.submit(spec);

    assert!(fixture.next_batches().is_empty());
    assert!(fixture.events().is_empty(), "{job:?} has failed");
    fixture.advance(100);
    assert_eq!(fixture.next_batch().items.len(), 2);
}

/// Guards against callers that wait for servers which all want nothing for longer than they wait.
#[test]
fn jobs_that_a_backoff_makes_hopeless_are_refused_at_once() {
    let mut fixture = Fixture::new(&["north"]);
    let until = fixture.now + ms(60_000);
    fixture.set_availability("north", ServerAvailability::BackingOff { until });
    let spec = fixture.chain(&[(ENCODE, 2, 1_000)]);

    let refused = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refused.reason, JobFailure::Late);
}

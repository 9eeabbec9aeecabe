//! Jobs that may use servers of some availability zones only.

use amaranthscale_core::process::{
    AllowedZones, JobEvent, JobFailure, JobSpec, ServerAvailability,
};

use super::fixture::{ENCODE, Fixture, RETRIEVE, ms};

fn north() -> AllowedZones {
    AllowedZones::only(["north".parse().unwrap()])
}

fn restricted(fixture: &mut Fixture, stages: &[(&str, usize, u64)]) -> JobSpec {
    JobSpec {
        allowed_zones: north(),
        ..fixture.chain(stages)
    }
}

/// Guards against pieces of a restricted job in a batch for another zone, beside those of jobs that
/// may use it.
#[test]
fn pieces_are_only_sent_to_allowed_zones() {
    let mut fixture = Fixture::new(&["north", "south"]);
    let (mut calls, mut in_south) = (Vec::new(), 0);
    for round in 0..20 {
        let spec = restricted(&mut fixture, &[(ENCODE, 4, 1_000)]);
        calls.push(spec.call.clone());
        let free = fixture.chain(&[(ENCODE, 4, 1_000)]);
        let specs = if round % 2 == 0 {
            [free, spec]
        } else {
            [spec, free]
        };
        for spec in specs {
            fixture.submit(spec);
        }
        for batch in fixture.next_batches() {
            if batch.zone.as_str() == "south" {
                in_south += batch.items.len();
                let mut items = batch.items.iter();
                assert!(items.all(|item| !calls.contains(&item.call)), "{batch:?}");
            }
            fixture.complete(&batch);
        }
        fixture.advance(300);
    }
    assert!(in_south > 0, "other jobs use it");
}

/// Guards against callers that wait in vain for a zone that their jobs may not use.
#[test]
fn a_job_without_a_server_in_allowed_zones_is_refused() {
    let mut fixture = Fixture::new(&["south"]);
    let spec = restricted(&mut fixture, &[(ENCODE, 2, 1_000)]);

    let refused = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refused.reason, JobFailure::NoServer);
}

/// Guards against callers that wait in vain after the last server in their zones was lost.
#[test]
fn a_job_whose_allowed_zones_are_evacuated_fails_at_once() {
    let mut fixture = Fixture::new(&["north", "south"]);
    let spec = restricted(&mut fixture, &[(ENCODE, 2, 1_000), (RETRIEVE, 2, 1_000)]);
    let job = fixture.submit(spec);
    let first = fixture.next_batch();
    assert_eq!(first.zone.as_str(), "north");

    fixture.set_availability("north", ServerAvailability::Evacuated);
    fixture.advance(30);
    assert!(fixture.next_batches().is_empty());

    assert_eq!(
        fixture.events(),
        [JobEvent::Failed(job, JobFailure::NoServer)]
    );
    fixture.complete(&first);
}

/// Guards against a slow server that waits for a faster one in a zone that is not allowed.
#[test]
fn a_slow_server_computes_pieces_that_no_other_zone_may() {
    let mut fixture = Fixture::new(&["north", "south"]);
    for _ in 0..4 {
        let spec = restricted(&mut fixture, &[(ENCODE, 2, 1_000)]);
        fixture.submit(spec);
        let batch = fixture.next_batch();
        // Three times as long as a call usually takes.
        fixture.advance(660);
        fixture.complete(&batch);
    }
    let spec = JobSpec {
        target_latency_left: ms(600),
        ..restricted(&mut fixture, &[(ENCODE, 2, 1_000)])
    };
    fixture.submit(spec);

    assert_eq!(fixture.next_batch().zone.as_str(), "north");
}

/// Guards against larger messages for all jobs, and against a job of an earlier release that is
/// refused.
#[test]
fn the_wire_has_the_zones_of_restricted_jobs_only() {
    let mut fixture = Fixture::new(&["north"]);
    let free = fixture.chain(&[(ENCODE, 1, 1)]);
    let spec = restricted(&mut fixture, &[(ENCODE, 1, 1)]);
    let encode = |spec: &JobSpec| serde_json::to_value(spec).unwrap();

    assert!(encode(&free).get("allowed_zones").is_none());
    let read: JobSpec = serde_json::from_value(encode(&spec)).unwrap();
    assert_eq!(read.allowed_zones, north());
    let read: JobSpec = serde_json::from_value(encode(&free)).unwrap();
    assert!(read.allowed_zones.is_all());
}

//! Order of the pieces, and the choice of their servers.

use amaranthscale_core::process::{JobEvent, JobFailure, PieceInput};

use super::fixture::{ENCODE, Fixture, RERANK, RETRIEVE, ms};

#[test]
fn pieces_of_several_requests_share_a_call() {
    let mut fixture = Fixture::new(&["north"]);
    let specs = [
        fixture.chain(&[(ENCODE, 2, 100)]),
        fixture.chain(&[(ENCODE, 3, 100)]),
    ];
    for spec in specs {
        fixture.submit(spec);
    }

    let batch = fixture.next_batch();

    assert_eq!(batch.items.len(), 5);
    assert!(
        fixture.next_batches().is_empty(),
        "the server takes one call at a time"
    );
}

#[test]
fn free_servers_share_the_waiting_pieces() {
    let mut fixture = Fixture::new(&["north", "north"]);
    for _ in 0..4 {
        let spec = fixture.chain(&[(ENCODE, 1, 100)]);
        fixture.submit(spec);
    }

    let batches = fixture.next_batches();

    let sizes: Vec<_> = batches.iter().map(|batch| batch.items.len()).collect();
    assert_eq!(sizes, [2, 2]);
}

#[test]
fn a_call_has_at_most_max_pieces() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 25, 100)]);
    fixture.submit(spec);

    let batch = fixture.next_batch();

    assert_eq!(batch.items.len(), 10);
}

#[test]
fn a_stage_starts_when_all_its_inputs_are_completed() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 2, 100), (RETRIEVE, 3, 100)]);
    fixture.submit(spec);
    let first = fixture.next_batch();
    assert_eq!(first.items[0].input, PieceInput::Key("key".to_owned()));
    fixture.advance(220);

    let completed = fixture.complete(&first);

    let second = fixture.next_batch();
    assert_eq!(second.service.as_str(), RETRIEVE);
    assert_eq!(second.items.len(), 3);
    let whole = PieceInput::Results(completed);
    assert!(second.items.iter().all(|item| item.input == whole));
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(ENCODE, 0, 100), (RETRIEVE, 1, 100)]);
    fixture.submit(spec);

    let batch = fixture.next_batch();

    assert_eq!(batch.service.as_str(), RETRIEVE);
    assert_eq!(batch.items[0].input, PieceInput::Key("key".to_owned()));
}

#[test]
fn the_request_with_less_time_left_goes_first() {
    let mut fixture = Fixture::new(&["north"]);
    let mut patient = fixture.chain(&[(ENCODE, 10, 100)]);
    patient.target_latency = ms(5_000);
    patient.target_latency_left = patient.target_latency;
    let urgent = fixture.chain(&[(ENCODE, 10, 100)]);
    let urgent_call = urgent.call.clone();
    fixture.submit(patient);
    fixture.submit(urgent);

    let batch = fixture.next_batch();

    assert!(batch.items.iter().all(|item| item.call == urgent_call));
}

/// Two kinds of request need a service that cannot complete all of both in time. If they were
/// ordered by time alone, all of them would be late together; the one with more value must go
/// first.
#[test]
fn the_request_with_more_value_per_work_goes_first() {
    let mut fixture = Fixture::new(&["north"]);
    for _ in 0..3 {
        let mut cheap = fixture.chain(&[(ENCODE, 10, 100)]);
        cheap.value_tokens = 1_000;
        fixture.submit(cheap);
    }
    let mut valuable = fixture.chain(&[(ENCODE, 10, 100)]);
    valuable.value_tokens = 8_000;
    let valuable_call = valuable.call.clone();
    fixture.submit(valuable);

    let batch = fixture.next_batch();

    assert_eq!(batch.items[0].call, valuable_call);
}

#[test]
fn a_less_urgent_request_goes_after_others() {
    let mut fixture = Fixture::new(&["north"]);
    let mut low = fixture.chain(&[(ENCODE, 10, 100)]);
    low.rank.organisation = 2;
    let high = fixture.chain(&[(ENCODE, 10, 100)]);
    let high_call = high.call.clone();
    fixture.submit(low);
    fixture.submit(high);

    let batch = fixture.next_batch();

    assert_eq!(batch.items[0].call, high_call);
}

/// Operators rank a route of small requests before one of large ones. If tokens were compared
/// across routes, the urgent small requests would wait behind all others.
#[test]
fn the_more_urgent_route_goes_first_regardless_of_tokens() {
    let mut fixture = Fixture::new(&["north"]);
    for _ in 0..3 {
        let mut large = fixture.chain(&[(ENCODE, 10, 100)]);
        large.route = "large".parse().unwrap();
        large.rank.route = 1;
        large.value_tokens = 40_000;
        fixture.submit(large);
    }
    let mut urgent = fixture.chain(&[(ENCODE, 10, 100)]);
    urgent.route = "urgent".parse().unwrap();
    urgent.value_tokens = 1_000;
    let urgent_call = urgent.call.clone();
    fixture.submit(urgent);

    let batch = fixture.next_batch();

    assert_eq!(batch.items[0].call, urgent_call);
}

/// Two routes of the same rank, one with long answers and one with short ones: neither waits
/// because of the other's tokens, and the one that must start earlier starts earlier.
#[test]
fn tokens_are_compared_within_a_route_only() {
    let mut fixture = Fixture::new(&["north"]);
    let mut short = fixture.chain(&[(ENCODE, 10, 100)]);
    short.route = "short".parse().unwrap();
    short.value_tokens = 1_000;
    let short_call = short.call.clone();
    let mut long = fixture.chain(&[(ENCODE, 10, 100)]);
    long.route = "long".parse().unwrap();
    long.value_tokens = 40_000;
    long.target_latency_left += ms(50);
    fixture.submit(long);
    fixture.submit(short);

    let batch = fixture.next_batch();

    assert_eq!(batch.items[0].call, short_call);
}

#[test]
fn large_final_results_are_computed_in_the_zone_of_their_reader() {
    let mut fixture = Fixture::new(&["south", "north"]);
    let spec = fixture.chain(&[(ENCODE, 1, 400_000)]);
    fixture.submit(spec);

    let batch = fixture.next_batch();

    assert_eq!(batch.zone.as_str(), "north");
}

#[test]
fn a_stage_is_computed_in_the_zone_of_its_large_inputs() {
    let mut fixture = Fixture::new(&["south", "north"]);
    let spec = fixture.chain(&[(ENCODE, 4, 60_000), (RETRIEVE, 1, 1_000)]);
    fixture.submit(spec);
    let first = fixture.next_batches();
    fixture.advance(250);
    for batch in &first {
        fixture.complete(batch);
    }

    let second = fixture.next_batch();

    assert_eq!(second.zone, first[0].zone);
}

/// Every server is overloaded. A request that cannot meet its deadline is refused at once with a
/// retry delay, instead of waiting until its caller gives up.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut fixture = Fixture::new(&["north"]);
    for _ in 0..60 {
        let spec = fixture.chain(&[(ENCODE, 10, 100)]);
        let _ = fixture.batcher.submit(spec, fixture.now);
    }

    fixture.advance(20);
    let mut spec = fixture.chain(&[(ENCODE, 10, 100)]);
    spec.deadline_left = ms(3_000);
    let refused = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refused.reason, JobFailure::Late);
    assert!(refused.retry_after >= ms(300));
}

/// A caller names a number of pieces that would take all of the owner's memory, which would end the
/// batches of all gateways, or a configuration has stages that depend on each other.
#[test]
fn an_invalid_job_is_refused() {
    let mut fixture = Fixture::new(&["north"]);
    let too_many = fixture.chain(&[(ENCODE, 1_000_000_000_000, 100)]);
    let mut waits_for_itself = fixture.chain(&[(ENCODE, 1, 100)]);
    waits_for_itself.stages[0].depends_on = vec![0];
    let mut waits_for_nothing = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 1, 100)]);
    waits_for_nothing.stages[1].depends_on = vec![7];

    for spec in [too_many, waits_for_itself, waits_for_nothing] {
        let refused = fixture.batcher.submit(spec, fixture.now).unwrap_err();
        assert_eq!(refused.reason, JobFailure::Malformed);
    }
    assert_eq!(fixture.batcher.job_count(), 0);
}

#[test]
fn a_request_without_a_server_is_refused_at_once() {
    let mut fixture = Fixture::new(&[]);
    let spec = fixture.chain(&[(RERANK, 1, 100)]);

    let refused = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refused.reason, JobFailure::NoServer);
}

/// The first stage of all requests is short and completes at once; then they wait for the long one.
/// Each kept its position there until it completed just too late, and delayed those behind it. A
/// request that can no longer meet its target latency must go after those that can.
#[test]
fn a_request_that_is_late_after_a_short_stage_goes_after_on_time_requests() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(RETRIEVE, 10, 100)]);
    fixture.submit(spec);
    let ahead = fixture.next_batch();
    let spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 8, 100)]);
    fixture.submit(spec);
    let short = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&short);
    fixture.advance(1_800);
    fixture.next_batches();
    let in_time = fixture.chain(&[(RETRIEVE, 8, 100)]);
    let in_time_call = in_time.call.clone();
    fixture.submit(in_time);

    fixture.complete(&ahead);

    assert_eq!(fixture.next_batch().items[0].call, in_time_call);
}

/// As above, but no server becomes free: the caller must be refused soon, not at its deadline.
#[test]
fn an_uncommitted_request_fails_after_twice_its_target_latency() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(RETRIEVE, 10, 100)]);
    fixture.submit(spec);
    let _ahead = fixture.next_batch();
    let spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 8, 100)]);
    let job = fixture.submit(spec);
    let short = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&short);

    fixture.advance(4_000);
    fixture.next_batches();

    assert_eq!(fixture.events(), [JobEvent::Failed(job, JobFailure::Late)]);
}

#[test]
fn a_committed_request_continues_past_its_target_latency() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(RETRIEVE, 10, 100)]);
    fixture.submit(spec);
    let _ahead = fixture.next_batch();
    let spec = fixture.chain(&[(ENCODE, 8, 100), (RETRIEVE, 1, 100)]);
    fixture.submit(spec);
    let long = fixture.next_batch();
    fixture.advance(280);
    fixture.complete(&long);

    fixture.advance(4_000);
    fixture.next_batches();

    assert!(fixture.events().is_empty());
}

/// More work arrives than the servers can complete. A request that can no longer meet its target
/// latency waited for twice that time, although no capacity would be left for it, and was then
/// refused: it must fail at once, while a retry still makes sense.
#[test]
fn a_late_request_that_would_wait_in_vain_fails_at_once() {
    let mut fixture = Fixture::new(&["north"]);
    let spec = fixture.chain(&[(RETRIEVE, 10, 100)]);
    fixture.submit(spec);
    let _ahead = fixture.next_batch();
    let mut hopeless = fixture.chain(&[(RETRIEVE, 8, 100)]);
    hopeless.target_latency = ms(1_000);
    hopeless.target_latency_left = hopeless.target_latency;
    let hopeless = fixture.submit(hopeless);
    for _ in 0..10 {
        let mut patient = fixture.chain(&[(RETRIEVE, 10, 100)]);
        patient.target_latency = ms(20_000);
        patient.target_latency_left = patient.target_latency;
        patient.deadline_left = ms(30_000);
        fixture.submit(patient);
    }

    fixture.advance(900);
    fixture.next_batches();

    assert_eq!(
        fixture.events(),
        [JobEvent::Failed(hopeless, JobFailure::Late)]
    );
}

/// The batch owner stops responding, and when its requests reach the next owner, their target
/// latencies have passed. If they were refused or given up for that, all of them would fail with
/// the old owner, although the new one is idle: they must have the same time beyond their target
/// latency as others.
#[test]
fn a_request_from_a_lost_owner_is_still_computed() {
    let mut fixture = Fixture::new(&["north"]);
    let mut spec = fixture.chain(&[(ENCODE, 4, 100)]);
    spec.target_latency = ms(1_000);
    spec.target_latency_left = ms(0);
    spec.deadline_left = ms(13_000);

    fixture.submit(spec);

    assert_eq!(fixture.next_batch().items.len(), 4);
}

/// Two requests arrive together, one with a prompt of fifty thousand tokens that its engine reads
/// for half a second. If they were served in order of arrival, its pieces would be too late; they
/// go first.
#[test]
fn pieces_of_a_large_prompt_go_first() {
    let mut fixture = Fixture::new(&["north"]);
    let usual = fixture.chain(&[(ENCODE, 10, 1_000)]);
    let mut large = fixture.chain(&[(ENCODE, 10, 1_000)]);
    large.engine_time = ms(600);
    let call = large.call.clone();
    fixture.submit(usual);
    fixture.submit(large);

    let first = fixture.next_batch();

    assert!(
        first.items.iter().all(|item| item.call == call),
        "{first:?}"
    );
}

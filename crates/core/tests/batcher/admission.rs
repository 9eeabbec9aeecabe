//! Admission by forecast: refusals at arrival, displacement, shares, errors and takeovers.

use std::time::Duration;

use amaranthscale_core::process::{Batch, Bound, JobEvent, JobFailure, JobId, JobRefusal};

use super::fixture::{ENCODE, Fixture, RERANK, RETRIEVE, ms};
use super::load_simulation::{FOUR_SERVICES, Figures, Scenario, THREE_SERVICES};

/// Number of pieces of a full call.
const FULL_CALL: usize = 10;

/// The same requests with admission by forecast and without it.
fn both(scenario: Scenario) -> (Figures, Figures) {
    let before = Scenario {
        has_forecast: false,
        ..scenario
    };
    (before.run(), scenario.run())
}

/// Jobs that were displaced since the last call, with their refusals.
fn displaced(fixture: &mut Fixture) -> Vec<(JobId, JobRefusal)> {
    let events = fixture.events().into_iter();
    let displaced = events.filter_map(|event| match event {
        JobEvent::Displaced(job, refusal) => Some((job, refusal)),
        _ => None,
    });
    displaced.collect()
}

/// Submits jobs of a full call each until one is refused; returns the accepted ones.
fn fill(fixture: &mut Fixture) -> (Vec<JobId>, JobRefusal) {
    let mut accepted = Vec::new();
    for _ in 0..100 {
        let spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
        match fixture.batcher.submit(spec, fixture.now) {
            Ok(job) => accepted.push(job),
            Err(refusal) => return (accepted, refusal),
        }
    }
    panic!("nothing was refused");
}

/// A forecast that is too strict refuses requests although servers are idle.
#[test]
fn nothing_is_refused_at_60_percent() {
    let (before, after) = both(Scenario::at(0.6, true));

    assert_eq!(after.total(|route| route.refused), 0);
    assert!(after.total(|route| route.in_time) >= before.total(|route| route.in_time));
}

/// At 90% the queues are short, so a forecast that counts work twice would refuse a part of it.
#[test]
fn no_fewer_are_served_in_time_at_90_percent() {
    let (before, after) = both(Scenario::at(0.9, true));

    assert!(after.total(|route| route.in_time) >= before.total(|route| route.in_time));
}

/// Requests wait for seconds before they are refused, jobs fail after their admission, and the work
/// that was spent on them is lost.
#[test]
fn overload_is_refused_at_arrival_and_wastes_little_work() {
    for load in [1.2, 2.0] {
        let (before, after) = both(Scenario::at(load, true));

        let failed = after.total(|route| route.failed);
        assert!(
            failed * 20 < after.total(|route| route.admitted),
            "{failed} at {load}"
        );
        assert!(
            after.wasted() * 3 < before.wasted(),
            "{:?} at {load}",
            after.wasted()
        );
        assert!(
            after.value() >= before.value(),
            "{} at {load}",
            after.value()
        );
        let in_time = after.total(|route| route.in_time);
        assert!(
            in_time >= before.total(|route| route.in_time),
            "{in_time} at {load}"
        );
        let refused = after.total(|route| route.refused);
        let early = after.total(|route| route.refused_early);
        assert!(early * 4 >= refused * 3, "{early} of {refused} at {load}");
    }
}

/// At twice the capacity, nine of ten refusals come within 100 ms.
#[test]
fn nine_of_ten_refusals_are_early_at_200_percent() {
    let after = Scenario::at(2.0, true).run();

    let refused = after.total(|route| route.refused);
    let early = after.total(|route| route.refused_early);
    assert!(early * 10 >= refused * 9, "{early} of {refused}");
}

/// With many gateways, jobs reach the owner in bursts.
#[test]
fn a_hundred_gateways_get_the_same_answers() {
    let few = Scenario::at(1.2, true).run();
    let many = Scenario {
        gateways: 100,
        ..Scenario::at(1.2, true)
    };

    let many = many.run();

    let (few, many) = (
        few.total(|route| route.in_time),
        many.total(|route| route.in_time),
    );
    assert!(many * 20 >= few * 19, "{many} instead of {few}");
}

/// Half of the servers are lost for two seconds. If all jobs waited on, all would time out.
#[test]
fn a_loss_of_servers_fails_few_admitted_jobs() {
    let scenario = Scenario {
        lost_servers: 0.5,
        ..Scenario::at(0.9, true)
    };

    let (before, after) = both(scenario);

    let failed = after.total(|route| route.failed);
    assert!(
        failed * 20 < after.total(|route| route.admitted),
        "{failed}"
    );
    assert!(failed < before.total(|route| route.failed), "{failed}");
    let in_time = after.total(|route| route.in_time);
    assert!(
        in_time * 100 >= before.total(|route| route.in_time) * 99,
        "{in_time}"
    );
}

/// Fraction of the requests of the small organisations that are served in time.
fn small_organisations_in_time(figures: &Figures) -> f64 {
    let count = |count: usize| f64::from(u32::try_from(count).unwrap());
    let small = |counts: &[usize; 16]| counts[3..].iter().sum();
    let served = figures.total(|route| small(&route.in_time_by_organisation));
    count(served) / count(figures.total(|route| small(&route.requests_by_organisation)))
}

/// One organisation requests ten times its share: the small ones lose their places to it.
#[test]
fn an_organisation_with_ten_times_its_requests_leaves_the_others_their_share() {
    let scenario = Scenario {
        first_organisation: 10.0,
        arrivals: Duration::from_secs(10),
        ..Scenario::at(0.6, true)
    };

    let (before, after) = both(scenario);

    let (before, after) = (
        small_organisations_in_time(&before),
        small_organisations_in_time(&after),
    );
    assert!(after > 0.75, "{after} instead of {before}");
    assert!(after > before + 0.2, "{after} instead of {before}");
}

/// A job waits for seconds and is then refused, although its forecast was known at its arrival.
#[test]
fn an_unreachable_job_is_refused_at_once_with_its_forecast() {
    let mut fixture = Fixture::with_forecast(&["north"]);

    let (accepted, refusal) = fill(&mut fixture);

    // A call of ten pieces takes 300 ms, and the target latency is 2 s.
    assert!((4..=8).contains(&accepted.len()), "{}", accepted.len());
    assert_eq!(refusal.reason, JobFailure::Late);
    assert!(refusal.retry_after >= ms(300) && refusal.retry_after <= ms(2_000));
    let forecast = refusal.forecast.unwrap();
    assert!(forecast.forecast > forecast.limit);
    assert_eq!(forecast.limit, ms(2_000));
    assert_eq!((forecast.stage, forecast.bound), (0, Bound::Time));
}

/// Server time is free, but storage is not: the job would wait for storage until its deadline.
#[test]
fn result_storage_is_part_of_the_forecast() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let mut bounds = Vec::new();
    for _ in 0..40 {
        let spec = fixture.chain(&[(ENCODE, 1, 400_000)]);
        if let Err(refusal) = fixture.batcher.submit(spec, fixture.now) {
            bounds.extend(refusal.forecast.map(|forecast| forecast.bound));
        }
        for batch in fixture.next_batches() {
            fixture.complete(&batch);
        }
        fixture.advance(100);
    }

    assert!(bounds.contains(&Bound::Room), "{bounds:?}");
}

/// Large results lack storage. A small one of the same service fits beside them, and must not be
/// refused for their backlog.
#[test]
fn a_small_result_is_not_refused_for_the_storage_of_large_ones() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    for _ in 0..16 {
        let mut large = fixture.chain(&[(ENCODE, 2, 400_000)]);
        large.was_admitted = true;
        fixture.submit(large);
    }
    let large = fixture.chain(&[(ENCODE, 2, 400_000)]);
    let small = fixture.chain(&[(ENCODE, 1, 100)]);

    let refusal = fixture.batcher.submit(large, fixture.now).unwrap_err();
    let accepted = fixture.batcher.submit(small, fixture.now);

    assert_eq!(refusal.forecast.unwrap().bound, Bound::Room);
    assert!(accepted.is_ok(), "{accepted:?}");
}

/// The later stages of the path are forecast as well: otherwise the first stages of a job are
/// computed in vain.
#[test]
fn the_backlog_of_a_later_stage_counts() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    for _ in 0..20 {
        let spec = fixture.chain(&[(RERANK, FULL_CALL, 100)]);
        let _ = fixture.batcher.submit(spec, fixture.now);
    }
    let spec = fixture.chain(&[
        (ENCODE, 1, 100),
        (RETRIEVE, 1, 100),
        (RERANK, FULL_CALL, 100),
    ]);

    let refusal = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refusal.forecast.unwrap().stage, 2);
}

/// More urgent work arrives after a less urgent job was admitted. The job would wait until its time
/// is over, and its caller could not try again.
#[test]
fn the_least_urgent_job_is_displaced_once() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let mut least_urgent = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    least_urgent.rank.route = 2;
    let least_urgent = fixture.submit(least_urgent);
    let (urgent, _) = fill(&mut fixture);
    fixture.advance(20);

    fixture.next_batches();

    let first = displaced(&mut fixture);
    let jobs: Vec<_> = first.iter().map(|(job, _)| *job).collect();
    assert_eq!(jobs, [least_urgent]);
    assert_eq!(first[0].1.reason, JobFailure::Late);
    assert!(first[0].1.retry_after >= ms(300));
    assert!(!urgent.is_empty());
    fixture.advance(20);
    fixture.next_batches();
    assert!(displaced(&mut fixture).is_empty());
}

/// Half of the servers are gone: the jobs that are not reachable leave at once, the others stay.
#[test]
fn a_loss_of_servers_displaces_what_is_not_reachable() {
    let mut fixture = Fixture::with_forecast(&["north", "south"]);
    let (accepted, _) = fill(&mut fixture);
    fixture.set_servers(&["north"]);
    fixture.advance(20);

    fixture.next_batches();

    let displaced = displaced(&mut fixture).len();
    assert!(
        displaced * 3 >= accepted.len(),
        "{displaced} of {}",
        accepted.len()
    );
    assert!(
        displaced * 3 <= accepted.len() * 2,
        "{displaced} of {}",
        accepted.len()
    );
}

fn calls_of(batch: &Batch) -> Vec<&str> {
    batch.items.iter().map(|item| item.call.as_str()).collect()
}

/// Work of one rank is begun everywhere and completed nowhere, so that much of it is discarded.
#[test]
fn started_work_goes_before_new_work_of_its_rank() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let mut started = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, FULL_CALL, 100)]);
    started.value_tokens = 1_000;
    let call = started.call.clone();
    fixture.submit(started);
    let first = fixture.next_batch();
    for _ in 0..3 {
        let mut new = fixture.chain(&[(RETRIEVE, FULL_CALL, 100)]);
        new.value_tokens = 9_000;
        fixture.submit(new);
    }
    let running = fixture.next_batch();
    fixture.advance(210);
    fixture.complete(&first);
    fixture.complete(&running);

    let next = fixture.next_batch();

    assert_eq!(calls_of(&next), vec![call.as_str(); FULL_CALL]);
}

/// Urgent jobs with short targets would wait at each stage for the rest of less urgent ones.
#[test]
fn mostly_sent_work_goes_after_new_work_of_the_most_urgent_rank() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let mut mostly_sent = fixture.chain(&[(ENCODE, FULL_CALL, 100), (RETRIEVE, FULL_CALL, 100)]);
    mostly_sent.rank.route = 2;
    fixture.submit(mostly_sent);
    let first = fixture.next_batch();
    let blocking = fixture.chain(&[(RETRIEVE, FULL_CALL, 100)]);
    fixture.submit(blocking);
    let running = fixture.next_batch();
    let urgent = fixture.chain(&[(RETRIEVE, FULL_CALL, 100)]);
    let call = urgent.call.clone();
    fixture.submit(urgent);
    fixture.advance(310);
    fixture.complete(&first);
    fixture.complete(&running);

    let next = fixture.next_batch();

    assert_eq!(calls_of(&next), vec![call.as_str(); FULL_CALL]);
}

/// On-time jobs wait for their later stages at any load: if a late job waited until there are none,
/// it would be given up beside an idle server.
#[test]
fn a_late_job_starts_at_a_server_that_no_on_time_stage_waits_for() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let on_time = fixture.chain(&[(ENCODE, FULL_CALL, 100), (RETRIEVE, 5, 100)]);
    fixture.submit(on_time);
    fixture.next_batch();
    let mut late = fixture.chain(&[(RETRIEVE, 1, 100)]);
    late.target_latency_left = ms(400);
    let call = late.call.clone();
    fixture.submit(late);
    fixture.advance(200);

    let next = fixture.next_batch();

    assert_eq!(calls_of(&next), [call.as_str()]);
}

/// One organisation submits a burst before the first job of another one: that job would wait for
/// the whole burst.
#[test]
fn an_organisation_with_a_burst_goes_after_others_of_its_rank() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    for _ in 0..4 {
        let mut spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
        spec.organisation = Some("large".parse().unwrap());
        fixture.submit(spec);
    }
    fixture.advance(50);
    let mut spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    spec.organisation = Some("small".parse().unwrap());
    let call = spec.call.clone();
    fixture.submit(spec);
    let first = fixture.next_batch();
    fixture.advance(300);
    fixture.complete(&first);

    let second = fixture.next_batch();

    let calls = [calls_of(&first), calls_of(&second)].concat();
    assert!(calls.contains(&call.as_str()), "{calls:?}");
}

/// No other organisation has requests: the delay must not refuse what the servers complete.
#[test]
fn an_organisation_alone_may_use_all() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let mut accepted = 0;
    for _ in 0..100 {
        let mut spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
        spec.organisation = Some("only".parse().unwrap());
        accepted += usize::from(fixture.batcher.submit(spec, fixture.now).is_ok());
    }

    let (without_organisation, _) = fill(&mut Fixture::with_forecast(&["north"]));
    assert_eq!(accepted, without_organisation.len());
}

/// Ratio of actual to forecast waits of the first service.
fn ratio(fixture: &Fixture) -> f64 {
    let mut ratios = fixture.batcher.forecast_ratios(fixture.now);
    let found = ratios.find(|(service, _)| service.as_str() == ENCODE);
    found.map_or(1.0, |(_, ratio)| ratio)
}

/// Submits and sends for two seconds; each call takes a multiple of its expected time.
fn run_for_two_seconds(fixture: &mut Fixture, slowness: u64) {
    let mut running: Vec<(Duration, Batch)> = Vec::new();
    for _ in 0..100 {
        let spec = fixture.chain(&[(ENCODE, 3, 100)]);
        let _ = fixture.batcher.submit(spec, fixture.now);
        let (ended, left) = running
            .into_iter()
            .partition(|(end, _)| *end <= fixture.now);
        running = left;
        let ended: Vec<(Duration, Batch)> = ended;
        for (_, batch) in ended {
            fixture.complete(&batch);
        }
        for batch in fixture.next_batches() {
            running.push((fixture.now + ms(300 * slowness), batch));
        }
        fixture.advance(20);
    }
}

/// Servers are slower than their specification says, and jobs are admitted that are never reached.
#[test]
fn a_forecast_that_is_too_low_grows_within_two_seconds() {
    let mut fixture = Fixture::with_forecast(&["north"]);

    run_for_two_seconds(&mut fixture, 3);

    assert!(ratio(&fixture) > 1.2, "{}", ratio(&fixture));
    assert!(!fixture.batcher.take_forecast_errors().is_empty());
}

/// After a slow period with nothing admitted, the forecast must not refuse for ever.
#[test]
fn the_error_decays_without_samples() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    run_for_two_seconds(&mut fixture, 3);
    let slow = ratio(&fixture);

    fixture.advance(8_000);

    assert!(
        ratio(&fixture) - 1.0 < (slow - 1.0) / 10.0,
        "{}",
        ratio(&fixture)
    );
}

/// A refused job does not start, so a forecast that is too high for it would never be corrected.
#[test]
fn a_service_that_would_have_started_a_refused_job_lowers_its_forecast() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let (accepted, _) = fill(&mut fixture);
    for job in accepted {
        fixture.batcher.release(job);
    }
    fixture.advance(200);

    fixture.next_batches();

    assert!(ratio(&fixture) < 1.0, "{}", ratio(&fixture));
}

/// Operators could not tell a false refusal from a necessary one.
#[test]
fn a_false_refusal_is_reported_with_its_wait() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let (accepted, _) = fill(&mut fixture);
    for job in accepted {
        fixture.batcher.release(job);
    }
    fixture.advance(200);

    fixture.next_batches();

    let ends = fixture.batcher.take_probe_ends();
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].service.as_str(), ENCODE);
    assert_eq!(ends[0].waited, ms(200));
    assert!(ends[0].is_false_refusal(), "{:?}", ends[0]);
    assert!(fixture.batcher.take_probe_ends().is_empty());
}

/// The samples of urgent jobs, which wait little, would hide that a less urgent rank waits longer
/// than forecast.
#[test]
fn each_rank_of_a_service_has_its_own_error() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let (accepted, _) = fill(&mut fixture);
    let mut least_urgent = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    least_urgent.rank.route = 2;
    assert!(fixture.batcher.submit(least_urgent, fixture.now).is_err());
    for job in accepted {
        fixture.batcher.release(job);
    }
    // The jobs would have started one after the other.
    for _ in 0..2 {
        fixture.advance(100);
        fixture.next_batches();
    }
    for _ in 0..6 {
        let spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
        fixture.submit(spec);
        fixture.advance(200);
        let batch = fixture.next_batch();
        fixture.advance(300);
        fixture.complete(&batch);
    }

    let ratios = fixture.batcher.forecast_ratios_by_rank(fixture.now);
    let ratios: Vec<_> = ratios.map(|(_, rank, ratio)| (rank.route, ratio)).collect();

    assert_eq!(ratios.len(), 2);
    assert_eq!((ratios[0].0, ratios[1].0), (0, 2));
    assert!(ratios[0].1 > 1.0 && ratios[1].1 < 1.0, "{ratios:?}");
}

/// A call takes longer than forecast, and nothing else starts.
#[test]
fn a_refused_job_that_is_never_reached_raises_the_forecast() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    let running = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    fixture.submit(running);
    fixture.next_batch();
    let mut spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    spec.target_latency = ms(500);
    spec.target_latency_left = ms(500);
    spec.deadline_left = ms(600);
    assert!(fixture.batcher.submit(spec, fixture.now).is_err());
    fixture.advance(350);
    fixture.next_batches();
    assert!((ratio(&fixture) - 1.0).abs() < f64::EPSILON);

    fixture.advance(50);
    fixture.next_batches();

    assert!(ratio(&fixture) > 1.0, "{}", ratio(&fixture));
    fixture.advance(100);
    fixture.next_batches();
    let ends = fixture.batcher.take_probe_ends();
    assert!(ends.iter().all(|end| !end.is_false_refusal()), "{ends:?}");
}

/// The owner was lost after it had admitted a job. If the next one refused it for its forecast, its
/// caller would pay twice.
#[test]
fn a_job_that_an_earlier_owner_admitted_is_not_refused() {
    let mut fixture = Fixture::with_forecast(&["north"]);
    fill(&mut fixture);
    let mut spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
    spec.was_admitted = true;
    let job = fixture.submit(spec);
    fixture.advance(20);

    fixture.next_batches();

    assert!(
        !displaced(&mut fixture)
            .iter()
            .any(|(other, _)| *other == job)
    );
}

/// Order classes that are examined for one more job, after a number of jobs.
fn examined_after(jobs: usize) -> u64 {
    let mut fixture = Fixture::with_forecast(&["north"]);
    for _ in 0..jobs {
        let mut spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 1, 100)]);
        spec.was_admitted = true;
        fixture.submit(spec);
    }
    let before = fixture.batcher.examined_classes();
    let spec = fixture.chain(&[(ENCODE, 1, 100), (RETRIEVE, 1, 100)]);
    let _ = fixture.batcher.submit(spec, fixture.now);
    fixture.batcher.examined_classes() - before
}

/// The owner has a fifth of a core: if each submission examined the jobs that wait, it would fall
/// behind when it has most of them.
#[test]
fn the_cost_of_a_submission_does_not_grow_with_the_jobs() {
    assert_eq!(examined_after(50), examined_after(5_000));
}

/// Without the feature nothing is displaced, and refusals have no forecast.
#[test]
fn disabled_admission_refuses_as_before() {
    let mut fixture = Fixture::new(&["north"]);

    for _ in 0..60 {
        let spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);
        let _ = fixture.batcher.submit(spec, fixture.now);
    }
    fixture.advance(20);
    let spec = fixture.chain(&[(ENCODE, FULL_CALL, 100)]);

    let refusal = fixture.batcher.submit(spec, fixture.now).unwrap_err();

    assert_eq!(refusal.forecast, None);
    fixture.next_batches();
    assert!(displaced(&mut fixture).is_empty());
    assert_eq!(fixture.batcher.forecast_ratios(fixture.now).count(), 0);
}

/// A load of the deployment with three services, with admission by forecast and without it; sums
/// over some seeds.
fn three_services(scenario: Scenario, seeds: &[u64]) -> (Figures, Figures) {
    let mut before = Figures::new(&THREE_SERVICES);
    let mut after = Figures::new(&THREE_SERVICES);
    for seed in seeds {
        let scenario = Scenario {
            deployment: &THREE_SERVICES,
            seed: *seed,
            ..scenario
        };
        let (run_before, run_after) = both(scenario);
        before.add(run_before);
        after.add(run_after);
    }
    (before, after)
}

/// Guards against a forecast that refuses jobs of the least urgent rank which would have been
/// served: their queue is long, and a part of the expected urgent work never arrives.
#[test]
fn the_least_urgent_rank_is_served_at_full_load() {
    for load in [0.9, 1.0] {
        let (before, after) = three_services(Scenario::at(load, true), &[7, 8]);

        let in_time = after.total(|route| route.in_time);
        let in_time_before = before.total(|route| route.in_time);
        assert!(
            in_time >= in_time_before,
            "{in_time} instead of {in_time_before} at {load}"
        );
        let served = after.least_urgent().served();
        let served_before = before.least_urgent().served();
        assert!(
            served * 100 >= served_before * 95,
            "{served} instead of {served_before} at {load}"
        );
    }
}

/// Guards against a forecast that takes the arrivals of a burst as lasting.
#[test]
fn bursts_leave_no_fewer_served_in_time() {
    for (load, burst) in [(0.7, 1.8), (0.95, 1.3)] {
        let (before, after) = three_services(Scenario::with_bursts(load, burst, true), &[7]);

        let in_time = after.total(|route| route.in_time);
        let in_time_before = before.total(|route| route.in_time);
        let name = THREE_SERVICES.name;
        assert!(
            in_time >= in_time_before,
            "{name}: {in_time} instead of {in_time_before} at {load} to {burst}"
        );
        // Refusals that come later are those of jobs that were admitted in vain.
        assert!(after.refusal_time(92) <= ms(100), "{load} to {burst}");
    }
}

/// The table of the example names its routes by the simulation's.
#[test]
fn all_routes_of_the_simulation_have_requests() {
    for deployment in [&FOUR_SERVICES, &THREE_SERVICES] {
        let scenario = Scenario {
            deployment,
            ..Scenario::at(0.6, true)
        };

        let figures = scenario.run();

        assert_eq!(figures.routes.len(), deployment.routes.len());
        assert!(figures.routes.iter().all(|route| route.requests > 0));
    }
}

//! Samples, their exchange and the estimates from them.

use std::time::Duration;

use amaranthscale_core::id::{InstanceId, ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    EngineSamples, EngineSpeeds, PrefillSample, SPEED_FORMAT, ServerRecord, SpeedClass,
    SpeedCollector, SpeedReport, SpeedUpdate, SpeedVersion,
};

const NOW: Duration = Duration::from_secs(100);

fn instance(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn engine(name: &str) -> ServerIncarnation {
    name.parse().unwrap()
}

fn record(name: &str) -> ServerRecord {
    ServerRecord {
        incarnation: engine(name),
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 64,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

/// Samples of some prompts of 10,000 tokens, and events.
fn samples(ms_per_1000: u32, event_ms: u32) -> EngineSamples {
    let prefill = PrefillSample {
        tokens: 10_000,
        us: ms_per_1000 * 10_000,
    };
    EngineSamples {
        prefills: vec![prefill; 3],
        events: 40,
        mean_event_us: event_ms * 1_000,
        least_event_us: event_ms * 1_000,
        running: None,
        age_ms: 0,
    }
}

fn report(samples: &[(&str, EngineSamples)]) -> SpeedReport {
    let samples = samples.iter();
    SpeedReport {
        format: SPEED_FORMAT,
        known: None,
        samples: samples
            .map(|(name, samples)| (engine(name), samples.clone()))
            .collect(),
    }
}

fn listed(_engine: &ServerIncarnation) -> Option<ServiceId> {
    "engines".parse().ok()
}

/// Guards against impossible numbers, as of a peer of another build, that distort the estimates.
#[test]
fn samples_out_of_range_are_rejected() {
    let prefill = |tokens, us| EngineSamples {
        prefills: vec![PrefillSample { tokens, us }],
        ..EngineSamples::default()
    };
    let events = |mean_event_us, least_event_us| EngineSamples {
        events: 3,
        mean_event_us,
        least_event_us,
        ..EngineSamples::default()
    };
    let invalid = [
        prefill(100, 0),
        prefill(0, 100),
        prefill(2_000_000_000, 1_000),
        events(0, 0),
        events(61_000_000, 1),
        events(1_000, 2_000),
        EngineSamples {
            running: Some(1_000_000),
            ..events(1_000, 1_000)
        },
    ];
    let mut collector = SpeedCollector::new(instance("g1"));

    for samples in &invalid {
        let rejected = collector.record(&report(&[("e1", samples.clone())]), listed, NOW);
        assert_eq!(rejected.len(), 1, "{samples:?}");
    }

    assert_eq!(collector.engine_count(), 0);
    assert!(samples(20, 30).check().is_ok());
}

/// Guards against estimates of a collector that cannot be right, as of a faulty build.
#[test]
fn invalid_estimates_are_not_used() {
    let mut collector = SpeedCollector::new(instance("g1"));
    collector.record(&report(&[("e1", samples(20, 30))]), listed, NOW);
    let mut update = collector.update_since(None, NOW);
    let estimate = update.estimates[0].1.as_mut().unwrap();
    estimate.prefill_ns = 0;
    let mut speeds = EngineSpeeds::default();

    let invalid = speeds.apply(update, NOW);

    assert_eq!(invalid, 1);
    assert_eq!(speeds.published(&engine("e1")), None);
}

/// Guards against memory that grows with each engine that any peer names.
#[test]
fn samples_of_unlisted_engines_are_dropped() {
    let mut collector = SpeedCollector::new(instance("g1"));

    let invalid = collector.record(&report(&[("gone", samples(20, 30))]), |_| None, NOW);

    assert!(invalid.is_empty());
    assert_eq!(collector.engine_count(), 0);
}

/// Guards against a gateway that was frozen and reports what it measured long ago.
#[test]
fn old_samples_do_not_count() {
    let mut collector = SpeedCollector::new(instance("g1"));
    let old = EngineSamples {
        age_ms: 11_000,
        ..samples(400, 300)
    };

    collector.record(&report(&[("e1", samples(20, 30))]), listed, NOW);
    collector.record(&report(&[("e1", old)]), listed, NOW);

    let update = collector.update_since(None, NOW);
    assert_eq!(update.estimates[0].1.unwrap().prefill_ns, 20_000);
    let later = collector.update_since(None, NOW + Duration::from_secs(11));
    assert_eq!(later.estimates[0].1, None, "and recent ones become old");
}

/// Guards against an answer that repeats all estimates at each of four posts a second.
#[test]
fn only_changed_estimates_are_sent() {
    let mut collector = SpeedCollector::new(instance("g1"));
    let both = [("e1", samples(20, 30)), ("e2", samples(20, 30))];
    collector.record(&report(&both), listed, NOW);
    let first = collector.update_since(None, NOW);

    let unchanged = collector.update_since(Some(&first.version), NOW);
    let later = NOW + Duration::from_secs(1);
    let slower = [("e2", samples(60, 90)), ("e2", samples(60, 90))];
    collector.record(&report(&slower), listed, later);
    let changed = collector.update_since(Some(&first.version), later);

    assert!(first.is_complete && first.estimates.len() == 2);
    assert!(!unchanged.is_complete && unchanged.estimates.is_empty());
    let names: Vec<_> = changed.estimates.iter().map(|(name, _)| name).collect();
    assert_eq!(names, [&engine("e2")]);
}

/// Guards against a new collector that knows only what happens after the old one has ended.
#[test]
fn another_collector_gets_the_recent_samples_again() {
    let mut speeds = EngineSpeeds::default();
    let run = speeds.begin_run(&record("e1"), 9_000, 0, NOW);
    let first_event = NOW + Duration::from_millis(200);
    speeds.record_event(&engine("e1"), run, first_event);
    let reported = speeds.report_to(&instance("g1"), first_event);
    let update = SpeedUpdate {
        format: SPEED_FORMAT,
        version: SpeedVersion {
            collector: instance("g1"),
            number: 1,
        },
        is_complete: true,
        estimates: Vec::new(),
    };
    speeds.apply(update, first_event);

    let same = speeds.report_to(&instance("g1"), first_event);
    let other = speeds.report_to(&instance("g2"), first_event + Duration::from_secs(1));

    assert!(same.samples.is_empty());
    assert_eq!(other.known, None);
    assert_eq!(
        other.samples[0].1.prefills, reported.samples[0].1.prefills,
        "the sample is sent again"
    );
    assert_eq!(other.samples[0].1.age_ms, 1_000);
}

/// Guards against estimates that stay in use after their collector is gone.
#[test]
fn estimates_expire_without_a_collector() {
    let mut collector = SpeedCollector::new(instance("g1"));
    collector.record(&report(&[("e1", samples(20, 30))]), listed, NOW);
    let mut speeds = EngineSpeeds::default();
    speeds.apply(collector.update_since(None, NOW), NOW);

    speeds.report_to(&instance("g1"), NOW + Duration::from_secs(9));
    assert!(speeds.published(&engine("e1")).is_some());
    let report = speeds.report_to(&instance("g1"), NOW + Duration::from_secs(11));

    assert_eq!(speeds.published(&engine("e1")), None);
    assert_eq!(report.known, None, "all estimates are requested again");
}

/// Guards against an engine that has stalled but has not given a sample since.
#[test]
fn a_run_whose_first_event_is_overdue_is_reported_before_it_ends() {
    let mut collector = SpeedCollector::new(instance("g1"));
    collector.record(&report(&[("e1", samples(20, 30))]), listed, NOW);
    let mut speeds = EngineSpeeds::default();
    speeds.apply(collector.update_since(None, NOW), NOW);
    speeds.begin_run(&record("e1"), 9_000, 0, NOW);

    let in_time = speeds.report_to(&instance("g1"), NOW + Duration::from_millis(350));
    let overdue = speeds.report_to(&instance("g1"), NOW + Duration::from_millis(900));
    let again = speeds.report_to(&instance("g1"), NOW + Duration::from_millis(1_200));

    assert!(in_time.samples.is_empty() && again.samples.is_empty());
    let sample = overdue.samples[0].1.prefills[0];
    assert_eq!((sample.tokens, sample.us), (10_000, 900_000));
}

/// Guards against prefixes that move back and forth with an estimate between two classes.
#[test]
fn a_class_changes_only_for_a_clearly_different_speed() {
    let usual = SpeedClass::USUAL;
    let fast = usual.after(2.0);

    assert_eq!(usual.after(1.25), usual);
    assert_ne!(fast, usual);
    assert_eq!(fast.after(1.6), fast);
    assert_eq!(fast.after(2.5), fast);
    assert_eq!(fast.after(1.0), usual);
    assert_eq!(usual.after(f64::NAN), usual);
    assert!((fast.weight() - 2.0).abs() < 0.01);
}

/// Guards against a message of another build that is taken for something else.
#[test]
fn messages_survive_encoding() {
    let report = report(&[("e1@1700000000000", samples(20, 30))]);

    let encoded = rmp_serde::to_vec(&report).unwrap();
    let decoded: SpeedReport = rmp_serde::from_slice(&encoded).unwrap();

    assert_eq!(decoded, report);
    assert!(rmp_serde::from_slice::<SpeedReport>(&encoded[..10]).is_err());
}

/// Samples of events that take 20 ms and one more for each running request.
fn events_at(running: u32) -> EngineSamples {
    EngineSamples {
        running: Some(running),
        ..samples(20, 20 + running)
    }
}

/// Guards against a mean of the events' time that hides how much slower they are at a busy engine,
/// and against a slope from a few samples.
#[test]
fn the_time_of_events_is_estimated_by_load() {
    let mut collector = SpeedCollector::new(instance("g1"));
    for running in 0..30 {
        let mut all = vec![("measured", events_at(running))];
        if running < 3 {
            all.push(("few", events_at(10)));
            all.push(("unknown", samples(20, 30)));
        }
        assert!(collector.record(&report(&all), listed, NOW).is_empty());
    }

    let update = collector.update_since(None, NOW);

    let decode = |name: &str| {
        let mut all = update.estimates.iter();
        let (_, estimate) = all.find(|(incarnation, _)| *incarnation == engine(name))?;
        estimate.and_then(|estimate| estimate.decode)
    };
    let measured = decode("measured").unwrap();
    assert!((14..=15).contains(&measured.running), "{measured:?}");
    assert!(
        measured.slope_ns.abs_diff(1_000_000) < 1_000,
        "{measured:?}"
    );
    let few = decode("few").unwrap();
    assert_eq!(few.running, 10);
    assert_eq!(few.slope_ns, measured.slope_ns, "the slope of the service");
    assert_eq!(decode("unknown"), None);
}

/// Guards against samples with the load of another time, and against none with any.
#[test]
fn samples_of_events_have_the_load_that_was_reported_last() {
    let running_after = |elapsed| {
        let mut speeds = EngineSpeeds::default();
        let run = speeds.begin_run(&record("e1"), 1_000, 0, NOW);
        speeds.record_event(&engine("e1"), run, NOW);
        speeds.record_running(&engine("e1"), 7, NOW);
        speeds.record_event(&engine("e1"), run, NOW + elapsed);
        let report = speeds.report_to(&instance("g1"), NOW + elapsed);
        report.samples[0].1.running
    };

    assert_eq!(running_after(Duration::from_millis(40)), Some(7));
    assert_eq!(running_after(Duration::from_millis(1_040)), None);
}

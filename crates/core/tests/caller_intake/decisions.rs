//! The share of new connections that an entry takes.

use std::time::Duration;

use amaranthscale_core::process::{CallerIntake, INTAKE_SAMPLE_INTERVAL, LagChange};

const ON_TIME: Duration = Duration::from_millis(3);
const LATE: Duration = Duration::from_millis(150);

/// Records delays for a time, beginning at `from`; returns the changes.
fn record(
    intake: &mut CallerIntake,
    delay: Duration,
    from: Duration,
    time: Duration,
) -> Vec<LagChange> {
    let mut changes = Vec::new();
    let mut now = from;
    while now < from + time {
        now += INTAKE_SAMPLE_INTERVAL + delay;
        changes.extend(intake.record_loop_delay(delay, now));
    }
    changes
}

/// Number of a hundred new connections that are taken.
fn taken(intake: &mut CallerIntake) -> usize {
    (0..100).filter(|_| intake.takes_connection()).count()
}

#[test]
fn an_entry_on_time_takes_all_connections() {
    let mut intake = CallerIntake::default();

    let changes = record(&mut intake, ON_TIME, Duration::ZERO, Duration::from_mins(1));

    assert_eq!(changes, []);
    assert_eq!(taken(&mut intake), 100);
}

/// Guards against an entry that most callers connect to and that completes nothing in time.
#[test]
fn an_entry_that_stays_behind_closes_most_connections() {
    let mut intake = CallerIntake::default();

    let changes = record(&mut intake, LATE, Duration::ZERO, Duration::from_secs(5));

    assert_eq!(changes, [LagChange::FellBehind]);
    assert_eq!(taken(&mut intake), 5);
}

/// A single pause, as after a freeze, is no overload.
#[test]
fn one_long_delay_closes_no_connections() {
    let mut intake = CallerIntake::default();

    let pause = Duration::from_secs(5);
    let changes = record(&mut intake, pause, Duration::ZERO, Duration::from_secs(1));

    assert_eq!(changes, []);
    assert_eq!(taken(&mut intake), 100);
}

#[test]
fn an_entry_that_is_on_time_again_takes_more_step_by_step() {
    let mut intake = CallerIntake::default();
    record(&mut intake, LATE, Duration::ZERO, Duration::from_secs(3));

    let soon = Duration::from_secs(4);
    record(&mut intake, ON_TIME, soon, Duration::from_millis(500));
    let taken_soon = taken(&mut intake);
    let later = Duration::from_secs(5);
    let changes = record(&mut intake, ON_TIME, later, Duration::from_secs(3));

    assert!((10..60).contains(&taken_soon), "{taken_soon}");
    assert_eq!(changes, [LagChange::CaughtUp]);
    assert_eq!(taken(&mut intake), 100);
}

/// Guards against callers whose open connections alone keep an entry overloaded.
#[test]
fn an_entry_that_stays_behind_closes_most_connections_after_an_answer() {
    let mut intake = CallerIntake::default();
    let kept_before = (0..100).filter(|_| intake.keeps_connection()).count();

    record(&mut intake, LATE, Duration::ZERO, Duration::from_secs(5));

    let kept = (0..100).filter(|_| intake.keeps_connection()).count();
    assert_eq!((kept_before, kept), (100, 5));
}

//! Random calls of one ledger, checked against its earlier answers for each attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{AttemptId, AttemptNumber, Incarnation, RequestId, StageIndex};
use amaranthscale_core::request::{Ledger, LedgerLimits, LedgerState};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{Outcome, RevokeAnswer};
use amaranthscale_core::{Ran, ResultCode};
use quickcheck::{Arbitrary as _, Gen};

const INCARNATION: Incarnation = Incarnation::new(3);
const RUNS: u64 = 3_000;
const CALLS: usize = 200;
const ATTEMPTS: u32 = 6;
const LIMITS: LedgerLimits = LedgerLimits {
    max_entries: 3,
    max_expiry_ahead: Duration::from_millis(30),
    keep_finished: Duration::from_millis(10),
};

#[derive(Debug, Default)]
struct Answers {
    started: BTreeSet<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    forgotten: usize,
    full: usize,
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId::from_random_bits(1),
        stage: StageIndex::new(0),
        number: AttemptNumber::new(number),
    }
}

fn pick(random: &mut Gen, choices: u64) -> u64 {
    u64::arbitrary(random) % choices
}

/// Makes one random call and records the answer.
fn call(ledger: &mut Ledger, answers: &mut Answers, now: &mut SidecarClock, random: &mut Gen) {
    let number = u32::arbitrary(random) % ATTEMPTS;
    let attempt = attempt(number);
    let expiry = SidecarClock::from_millis(20 + 8 * u64::from(number));
    match pick(random, 7) {
        0 | 1 => {
            let admitted = ledger.admit(attempt, INCARNATION, expiry, *now);
            answers.full += usize::from(admitted == Err(ResultCode::LedgerFull));
        }
        2 => {
            if ledger.start(attempt, *now).is_ok() {
                assert!(
                    answers.started.insert(attempt),
                    "{attempt} was started twice"
                );
            }
        }
        3 => {
            if ledger.state(&attempt) == Some(&LedgerState::Running) {
                ledger.finish(attempt, Outcome::without_result(ResultCode::Complete), *now);
            }
        }
        4 => {
            if ledger.state(&attempt) == Some(&LedgerState::Queued) {
                ledger.refuse(attempt, ResultCode::ExpiredInQueue, *now);
                answers.not_run.insert(attempt);
            }
        }
        5 => revoke(ledger, answers, attempt, expiry, *now),
        _ => {
            *now = now.plus(Duration::from_millis(pick(random, 4)));
            ledger.sweep(*now);
        }
    }
}

fn revoke(
    ledger: &mut Ledger,
    answers: &mut Answers,
    attempt: AttemptId,
    expiry: SidecarClock,
    now: SidecarClock,
) {
    match ledger.revoke(attempt, INCARNATION, expiry, now) {
        RevokeAnswer::Revoked => {
            answers.not_run.insert(attempt);
        }
        RevokeAnswer::Finished(outcome) if outcome.ran() == Ran::No => {
            answers.not_run.insert(attempt);
        }
        RevokeAnswer::Running | RevokeAnswer::Finished(_) => {
            assert!(
                answers.started.contains(&attempt),
                "{attempt} was not started"
            );
        }
        RevokeAnswer::Forgotten => answers.forgotten += 1,
        RevokeAnswer::OtherIncarnation => panic!("there is only one incarnation"),
    }
}

fn check(ledger: &Ledger, answers: &Answers) {
    assert!(answers.started.is_disjoint(&answers.not_run), "{answers:?}");
    assert!(ledger.len() <= LIMITS.max_entries);
    let mut counts = BTreeMap::new();
    for state in (0..ATTEMPTS).filter_map(|number| ledger.state(&attempt(number))) {
        *counts
            .entry(matches!(state, LedgerState::Queued))
            .or_insert(0) +=
            usize::from(matches!(state, LedgerState::Queued | LedgerState::Running));
    }
    assert_eq!(ledger.queued(), counts.get(&true).copied().unwrap_or(0));
    assert_eq!(ledger.running(), counts.get(&false).copied().unwrap_or(0));
}

#[test]
fn a_ledger_never_contradicts_itself() {
    let (mut starts, mut forgotten, mut full) = (0, 0, 0);
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(10, seed);
        let mut ledger = Ledger::new(INCARNATION, LIMITS);
        let (mut answers, mut now) = (Answers::default(), SidecarClock::default());
        for _ in 0..CALLS {
            call(&mut ledger, &mut answers, &mut now, &mut random);
            check(&ledger, &answers);
        }
        starts += answers.started.len();
        forgotten += answers.forgotten;
        full += answers.full;
    }
    println!("{RUNS} runs of {CALLS} calls: {starts} starts, {forgotten} forgotten, {full} full");
    assert!(starts > 0 && forgotten > 0 && full > 0);
}

#[test]
fn a_clock_that_steps_back_does_not_readmit_an_attempt() {
    // The ledger drops a finished attempt, and a task with an earlier clock reading then delivers a
    // copy of it that seems not to have expired. If it ran, a notice would be sent twice.
    let mut ledger = Ledger::new(INCARNATION, LIMITS);
    let (early, expiry) = (SidecarClock::from_millis(5), SidecarClock::from_millis(20));
    ledger
        .admit(attempt(0), INCARNATION, expiry, early)
        .expect("the ledger is empty");
    ledger
        .start(attempt(0), early)
        .expect("the attempt is queued");
    ledger.finish(
        attempt(0),
        Outcome::without_result(ResultCode::Complete),
        early,
    );

    ledger.sweep(SidecarClock::from_millis(100));
    let admitted = ledger.admit(attempt(0), INCARNATION, expiry, early);

    assert!(ledger.is_empty());
    assert_eq!(admitted, Err(ResultCode::AttemptExpired));
}

#[test]
fn a_full_ledger_gives_no_guarantee_about_an_absent_attempt() {
    // A full ledger cannot record the tombstone that would refuse a delayed dispatch. If it
    // answered "revoked", a call reported as not run could run.
    let mut ledger = Ledger::new(
        INCARNATION,
        LedgerLimits {
            max_entries: 1,
            ..LIMITS
        },
    );
    let (now, expiry) = (SidecarClock::from_millis(5), SidecarClock::from_millis(20));
    ledger
        .admit(attempt(0), INCARNATION, expiry, now)
        .expect("the ledger is empty");

    let answer = ledger.revoke(attempt(1), INCARNATION, expiry, now);

    assert_eq!(answer, RevokeAnswer::Forgotten);
}

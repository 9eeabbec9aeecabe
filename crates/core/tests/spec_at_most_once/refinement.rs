//! Checks that the real ledger refines the specification's sidecar.
//!
//! In the specification an attempt's record depends only on its own progress, on whether it was
//! sent to the current incarnation, and on whether it has expired, so these cases are complete.

use std::time::Duration;

use amaranthscale_core::id::{AttemptId, AttemptNumber, Incarnation, RequestId, StageIndex};
use amaranthscale_core::request::{Ledger, LedgerLimits, LedgerState};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::wire::{Outcome, RevokeAnswer};
use amaranthscale_core::{Ran, ResultCode};

use crate::model::{Message, Progress, Spec, State};
use crate::search::Specification as _;

const SPEC: Spec = Spec {
    disabled: None,
    uses_claim: false,
    tries: [1, 1],
    revokes: true,
    restarts: 0,
    crashes: 0,
    ticks: 0,
};
const INCARNATION: Incarnation = Incarnation::new(8);
const EARLIER_INCARNATION: Incarnation = Incarnation::new(7);
const EXPIRY: SidecarClock = SidecarClock::from_millis(10);
const BEFORE_EXPIRY: SidecarClock = SidecarClock::from_millis(5);
const AFTER_EXPIRY: SidecarClock = SidecarClock::from_millis(11);

/// One attempt in the specification and in the real ledger.
struct Case {
    progress: Progress,
    is_same_incarnation: bool,
    is_expired: bool,
    spec: State,
    ledger: Ledger,
}

impl Case {
    fn now(&self) -> SidecarClock {
        if self.is_expired {
            AFTER_EXPIRY
        } else {
            BEFORE_EXPIRY
        }
    }

    fn incarnation(&self) -> Incarnation {
        if self.is_same_incarnation {
            INCARNATION
        } else {
            EARLIER_INCARNATION
        }
    }

    fn name(&self) -> String {
        let Self {
            progress,
            is_same_incarnation,
            is_expired,
            ..
        } = self;
        format!("{progress:?}, same incarnation {is_same_incarnation}, expired {is_expired}")
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        request: RequestId::from_random_bits(1),
        stage: StageIndex::new(0),
        number: AttemptNumber::new(0),
    }
}

fn cases() -> Vec<Case> {
    let known = [
        Progress::Queued,
        Progress::Calling,
        Progress::Finished,
        Progress::Refused,
        Progress::Revoked,
    ];
    let mut cases = vec![
        case(Progress::Absent, false, false),
        case(Progress::Absent, false, true),
    ];
    for progress in known.into_iter().chain([Progress::Absent]) {
        cases.extend([false, true].map(|is_expired| case(progress, true, is_expired)));
    }
    cases
}

fn case(progress: Progress, is_same_incarnation: bool, is_expired: bool) -> Case {
    let mut spec = SPEC.start();
    spec.attempts[0].progress = progress;
    spec.sidecars[0].incarnation = u8::from(!is_same_incarnation);
    spec.sidecars[0].clock = u8::from(is_expired);
    Case {
        progress,
        is_same_incarnation,
        is_expired,
        spec,
        ledger: ledger(progress),
    }
}

/// Creates a ledger in which the attempt has the given progress.
fn ledger(progress: Progress) -> Ledger {
    let limits = LedgerLimits {
        keep_finished: Duration::ZERO,
        ..LedgerLimits::default()
    };
    let mut ledger = Ledger::new(INCARNATION, limits);
    if progress != Progress::Absent {
        ledger
            .admit(attempt(), INCARNATION, EXPIRY, BEFORE_EXPIRY)
            .expect("the ledger is empty");
    }
    if matches!(progress, Progress::Calling | Progress::Finished) {
        ledger
            .start(attempt(), BEFORE_EXPIRY)
            .expect("the attempt is queued");
    }
    match progress {
        Progress::Finished => {
            let outcome = Outcome::without_result(ResultCode::Complete);
            ledger.finish(attempt(), outcome, BEFORE_EXPIRY);
        }
        Progress::Refused => ledger.refuse(attempt(), ResultCode::QueueFull, BEFORE_EXPIRY),
        Progress::Revoked => {
            ledger.revoke(attempt(), INCARNATION, EXPIRY, BEFORE_EXPIRY);
        }
        _ => {}
    }
    ledger
}

/// The specification's progress for the state in a ledger.
fn progress_in(ledger: &Ledger) -> Progress {
    match ledger.state(&attempt()) {
        None => Progress::Absent,
        Some(LedgerState::Queued) => Progress::Queued,
        Some(LedgerState::Running) => Progress::Calling,
        Some(LedgerState::Revoked) => Progress::Revoked,
        Some(LedgerState::Finished(outcome)) if outcome.ran() == Ran::No => Progress::Refused,
        Some(LedgerState::Finished(_)) => Progress::Finished,
    }
}

/// Whether an entry reports a refusal as "not run"; a duplicate says nothing about the attempt.
fn is_reported_not_run(code: ResultCode) -> bool {
    code.ran() == Ran::No && code != ResultCode::DuplicateAttempt
}

#[test]
fn admit_refines_the_specification() {
    for mut case in cases() {
        let (incarnation, now, name) = (case.incarnation(), case.now(), case.name());

        SPEC.admit(&mut case.spec, 0, true);
        let admitted = case.ledger.admit(attempt(), incarnation, EXPIRY, now);

        assert_eq!(
            progress_in(&case.ledger),
            case.spec.attempts[0].progress,
            "{name}"
        );
        // The ledger need not send a message that the specification allows, but must not send
        // others.
        if admitted.is_err_and(is_reported_not_run) {
            assert!(case.spec.network.has(Message::NotRun, 0), "{name}");
        }
    }
}

#[test]
fn start_refines_the_specification() {
    for mut case in cases() {
        let (now, name) = (case.now(), case.name());
        let mut transitions = Vec::new();
        if case.progress == Progress::Queued {
            SPEC.begin(&case.spec, 0, &mut transitions);
        }

        let started = case.ledger.start(attempt(), now);

        let expected = transitions
            .first()
            .map_or(case.progress, |(_, next)| next.attempts[0].progress);
        assert_eq!(progress_in(&case.ledger), expected, "{name}");
        let may_call = case.progress == Progress::Queued && expected == Progress::Calling;
        assert_eq!(started.is_ok(), may_call, "{name}");
    }
}

#[test]
fn revoke_refines_the_specification() {
    for mut case in cases() {
        let (incarnation, now, name) = (case.incarnation(), case.now(), case.name());

        SPEC.revoke(&mut case.spec, 0);
        let answer = case.ledger.revoke(attempt(), incarnation, EXPIRY, now);

        assert_eq!(
            progress_in(&case.ledger),
            case.spec.attempts[0].progress,
            "{name}"
        );
        let message = match answer {
            RevokeAnswer::Running => None,
            RevokeAnswer::Revoked => Some(Message::NotRun),
            RevokeAnswer::Finished(outcome) if outcome.ran() == Ran::No => Some(Message::NotRun),
            RevokeAnswer::Finished(_) => Some(Message::Complete),
            RevokeAnswer::Forgotten | RevokeAnswer::OtherIncarnation => Some(Message::Forgotten),
        };
        let answers = [Message::NotRun, Message::Complete, Message::Forgotten];
        let expected = answers
            .into_iter()
            .find(|sent| case.spec.network.has(*sent, 0));
        assert_eq!(message, expected, "{name}");
    }
}

#[test]
fn sweep_drops_only_what_the_specification_may_drop() {
    for mut case in cases() {
        let (now, name) = (case.now(), case.name());

        case.ledger.sweep(now);

        let is_ended = matches!(
            case.progress,
            Progress::Finished | Progress::Refused | Progress::Revoked
        );
        let expected = if is_ended && case.is_expired {
            Progress::Absent
        } else {
            case.progress
        };
        assert_eq!(progress_in(&case.ledger), expected, "{name}");
    }
}

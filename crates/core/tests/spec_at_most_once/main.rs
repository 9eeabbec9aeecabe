//! Exhaustive search over the interleavings of the at-most-once protocol, with each guard shown to
//! be necessary.

mod entry_transitions;
mod model;
mod refinement;
mod search;
mod sidecar_transitions;
mod table_transitions;

use model::{Guard, ORPHANED_CLAIM, RAN_AFTER_NOT_RUN, RAN_TWICE, Spec, WRONG_OUTCOME};
use search::{Specification as _, search};

/// Enables searches with wider bounds than CI has time for.
const WIDE_VARIABLE: &str = "AMARANTH_SPEC_WIDE";

/// Each entry has its own call; only the ledger makes it run at most once.
fn ledger_alone(disabled: Option<Guard>) -> Spec {
    Spec {
        disabled,
        uses_claim: false,
        tries: [2, 1],
        revokes: true,
        restarts: 1,
        crashes: 0,
        ticks: 1,
    }
}

/// Both entries have the same call with one key, and one of them may make two attempts.
fn one_key(disabled: Option<Guard>) -> Spec {
    Spec {
        disabled,
        uses_claim: true,
        tries: [1, 2],
        revokes: false,
        restarts: 1,
        crashes: 0,
        ticks: 0,
    }
}

/// As `one_key` with one attempt each, and with crashes and revocations.
fn one_key_crashing(disabled: Option<Guard>) -> Spec {
    Spec {
        tries: [1, 1],
        revokes: true,
        crashes: 1,
        ..one_key(disabled)
    }
}

fn assert_exhausted(name: &str, spec: &Spec) {
    let result = search(name, spec, Spec::RULES);
    assert!(result.counterexample.is_none());
    assert!(
        result.states > 1,
        "the search has not left its initial state"
    );
}

fn assert_violated(name: &str, spec: &Spec, rule: &'static str) {
    let result = search(name, spec, &[rule]);
    let actions = result.counterexample.expect("the guard is not necessary");
    assert!(!actions.is_empty());
}

#[test]
fn ledger_alone_holds_in_every_interleaving() {
    assert_exhausted("ledger alone", &ledger_alone(None));
}

#[test]
fn one_key_holds_in_every_interleaving() {
    assert_exhausted("one key", &one_key(None));
}

#[test]
fn one_key_holds_with_crashes_and_revocations() {
    assert_exhausted("one key, crashing", &one_key_crashing(None));
}

#[test]
fn one_key_holds_in_wider_bounds_when_asked() {
    if std::env::var_os(WIDE_VARIABLE).is_none() {
        println!("wider bounds: not searched, set {WIDE_VARIABLE} to search them");
        return;
    }
    let base = one_key(None);
    let retries = Spec {
        revokes: true,
        restarts: 0,
        ..base
    };
    assert_exhausted("one key, wide: revocations and retries", &retries);
    let faults = Spec {
        ticks: 1,
        ..one_key_crashing(None)
    };
    assert_exhausted("one key, wide: crash, restart, expiry", &faults);
}

#[test]
fn without_incarnation_a_replay_runs_twice() {
    // The sidecar runs the attempt, restarts and loses its record; a delayed copy of the dispatch
    // arrives at the next incarnation and seems new. A notice is sent twice.
    let spec = ledger_alone(Some(Guard::Incarnation));
    assert_violated("no incarnation", &spec, RAN_TWICE);
}

#[test]
fn without_expiry_a_replay_runs_twice() {
    // The ledger drops the finished attempt to limit its memory; a copy of the dispatch, delayed in
    // a stalled connection, arrives afterwards. A notice is sent twice.
    let spec = ledger_alone(Some(Guard::Expiry));
    assert_violated("no expiry", &spec, RAN_TWICE);
}

#[test]
fn without_forgotten_a_call_that_ran_is_refused() {
    // The ledger has dropped the attempt when the entry revokes it, and reports an attempt without
    // a record as not run. The call is reported as "not run" although it ran.
    let spec = ledger_alone(Some(Guard::Forgotten));
    assert_violated("no forgotten", &spec, RAN_AFTER_NOT_RUN);
}

#[test]
fn without_a_tombstone_a_revoked_attempt_runs() {
    // The revocation arrives on a new connection before the dispatch, finds no record and records
    // no tombstone. The call is reported as "not run" and runs shortly after.
    let spec = ledger_alone(Some(Guard::Tombstone));
    assert_violated("no tombstone", &spec, RAN_AFTER_NOT_RUN);
}

#[test]
fn sending_an_attempt_twice_refuses_a_call_that_ran() {
    // The entry's HTTP client resends the attempt on its own, and the entry accepts the refusal of
    // the second delivery. The call is reported as "not run" although it ran.
    let spec = ledger_alone(Some(Guard::SendOnce));
    assert_violated("sent twice", &spec, RAN_AFTER_NOT_RUN);
}

#[test]
fn without_matching_answers_a_caller_gets_the_answer_of_another() {
    // Two answers arrive in the wrong order, and the entry accepts the first one without comparing
    // its attempt id. A driver is shown another truck's assessment.
    let spec = ledger_alone(Some(Guard::MatchAnswer));
    assert_violated("answers not matched", &spec, WRONG_OUTCOME);
}

#[test]
fn without_the_claim_version_two_sidecars_run_a_call() {
    // Both entries dispatch the same call to different sidecars, and the second claim overwrites
    // the first. A grower is paid twice.
    let spec = one_key(Some(Guard::ClaimVersion));
    assert_violated("no claim version", &spec, RAN_TWICE);
}

#[test]
fn without_cancelling_an_unreachable_attempt_runs_later() {
    // The entry cannot reach the sidecar and treats the missing answer as proof; the sidecar was
    // only paused, resumes and claims. A notice reported as "not run" is sent later.
    let spec = one_key(Some(Guard::Cancel));
    assert_violated("no cancel", &spec, RAN_AFTER_NOT_RUN);
}

#[test]
fn without_reading_back_a_lost_claim_runs_twice() {
    // The reply to a claim is lost, and the sidecar treats it as won while another sidecar holds
    // the claim. A grower is paid twice.
    let spec = one_key(Some(Guard::ReadBack));
    assert_violated("no read back", &spec, RAN_TWICE);
}

#[test]
fn without_repeating_a_cancellation_the_call_runs_later() {
    // The reply to the cancellation is lost, the row read back still has the old version, and the
    // claim takes effect after that read. The call is reported as "not run" and runs.
    let spec = one_key(Some(Guard::RepeatWrite));
    assert_violated("no repeated cancellation", &spec, RAN_AFTER_NOT_RUN);
}

#[test]
fn without_repeating_a_claim_nobody_holds_it() {
    // The reply to the claim is lost, the row read back has the old version, the sidecar gives up,
    // and then the claim takes effect. The call is reported as still running forever.
    let spec = one_key(Some(Guard::RepeatWrite));
    assert_violated("no repeated claim", &spec, ORPHANED_CLAIM);
}

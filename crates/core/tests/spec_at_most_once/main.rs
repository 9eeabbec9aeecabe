//! Every interleaving of the at-most-once protocol, and each guard shown to be needed.

mod entry_moves;
mod model;
mod refinement;
mod search;
mod sidecar_moves;
mod table_moves;

use model::{DISOWNED, Guard, MIXED_UP, RAN_AFTER_ALL, RAN_TWICE, Spec};
use search::{Specification as _, search};

/// Searches wider bounds than a run of CI has time for.
const WIDE_VARIABLE: &str = "AMARANTH_SPEC_WIDE";

/// Each entry has a call of its own; the ledger alone keeps the promise.
fn ledger_alone(off: Option<Guard>) -> Spec {
    Spec {
        off,
        uses_claim: false,
        tries: [2, 1],
        revokes: true,
        restarts: 1,
        crashes: 0,
        ticks: 1,
    }
}

/// Both entries have the same call under one key, and one may try twice.
fn one_key(off: Option<Guard>) -> Spec {
    Spec {
        off,
        uses_claim: true,
        tries: [1, 2],
        revokes: false,
        restarts: 1,
        crashes: 0,
        ticks: 0,
    }
}

/// As `one_key` with one try each, and with crashes and revocations.
fn one_key_crashing(off: Option<Guard>) -> Spec {
    Spec {
        tries: [1, 1],
        revokes: true,
        crashes: 1,
        ..one_key(off)
    }
}

fn assert_exhausted(name: &str, spec: &Spec) {
    let found = search(name, spec, Spec::RULES);
    assert!(found.counterexample.is_none());
    assert!(found.states > 1, "the search has not left its start");
}

fn assert_broken(name: &str, spec: &Spec, rule: &'static str) {
    let found = search(name, spec, &[rule]);
    let actions = found.counterexample.expect("the guard is not needed");
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
    // A caller sees one notice sent twice. The sidecar runs the attempt, restarts and forgets it;
    // a delayed copy of the dispatch arrives in its next life and looks new.
    let spec = ledger_alone(Some(Guard::Incarnation));
    assert_broken("no incarnation", &spec, RAN_TWICE);
}

#[test]
fn without_expiry_a_replay_runs_twice() {
    // A caller sees one notice sent twice. The ledger drops the finished attempt to bound its
    // memory; a copy of the dispatch, stuck in a silent connection, arrives afterwards.
    let spec = ledger_alone(Some(Guard::Expiry));
    assert_broken("no expiry", &spec, RAN_TWICE);
}

#[test]
fn without_forgotten_a_call_that_ran_is_refused() {
    // A caller is told "not run" though the call ran. The ledger has dropped the attempt when the
    // entry asks about it, and takes "I know nothing" for "it did not run".
    let spec = ledger_alone(Some(Guard::Forgotten));
    assert_broken("no forgotten", &spec, RAN_AFTER_ALL);
}

#[test]
fn without_a_tombstone_a_revoked_attempt_runs() {
    // A caller is told "not run" and its call runs a moment later. The revocation overtakes the
    // dispatch on a new connection, finds nothing and leaves nothing behind.
    let spec = ledger_alone(Some(Guard::Tombstone));
    assert_broken("no tombstone", &spec, RAN_AFTER_ALL);
}

#[test]
fn sending_an_attempt_twice_refuses_a_call_that_ran() {
    // A caller is told "not run" though the call ran. The entry's HTTP client sends the attempt
    // again by itself, and the entry believes the refusal that the second delivery gets.
    let spec = ledger_alone(Some(Guard::SendOnce));
    assert_broken("sent twice", &spec, RAN_AFTER_ALL);
}

#[test]
fn without_the_echo_a_caller_gets_the_answer_of_another() {
    // A driver is shown another truck's assessment. Two answers cross on their way, and the entry
    // takes the first that comes without comparing the attempt that it names.
    let spec = ledger_alone(Some(Guard::Echo));
    assert_broken("no echo", &spec, MIXED_UP);
}

#[test]
fn without_the_claim_version_two_sidecars_run_a_call() {
    // A grower is paid twice. Both entries dispatch the same call to different sidecars, and the
    // second claim overwrites the first.
    let spec = one_key(Some(Guard::ClaimVersion));
    assert_broken("no claim version", &spec, RAN_TWICE);
}

#[test]
fn without_cancelling_an_unreachable_attempt_runs_after_all() {
    // A caller is told "not run" and the notice goes out later. The entry cannot reach the sidecar
    // and takes silence for proof; the sidecar was only paused, wakes and claims.
    let spec = one_key(Some(Guard::Cancel));
    assert_broken("no cancel", &spec, RAN_AFTER_ALL);
}

#[test]
fn without_reading_back_a_lost_claim_runs_twice() {
    // A grower is paid twice. The answer to a claim is lost; the sidecar takes it for won while
    // another sidecar holds the claim.
    let spec = one_key(Some(Guard::ReadBack));
    assert_broken("no read back", &spec, RAN_TWICE);
}

#[test]
fn without_repeating_a_cancellation_the_call_runs_after_all() {
    // A caller is told "not run" and its call runs. The answer to the cancellation is lost, the
    // row read back still shows the old version, and the claim takes effect after that read.
    let spec = one_key(Some(Guard::RepeatWrite));
    assert_broken("no repeated cancellation", &spec, RAN_AFTER_ALL);
}

#[test]
fn without_repeating_a_claim_nobody_holds_it() {
    // A caller is told "still running" for ever. The answer to the claim is lost, the row read
    // back shows the old version, the sidecar gives up, and then the claim takes effect.
    let spec = one_key(Some(Guard::RepeatWrite));
    assert_broken("no repeated claim", &spec, DISOWNED);
}

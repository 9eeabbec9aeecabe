//! Quarantine of requests that crash servers.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, PromptPartId, RequestFingerprint, ServerIncarnation};
use amaranthscale_core::process::{
    CrashEvidence, LossAction, LostRuns, Quarantine, QuarantineChange, QuarantineState, Suspect,
};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(102);

/// A request, or a prompt part where the name begins with `part:`.
fn request(name: &str) -> Suspect {
    match name.strip_prefix("part:") {
        Some(part) => PromptPartId::of(part).into(),
        None => RequestFingerprint::of(None, "h.example", name, b"").into(),
    }
}

/// State of a request with this content.
fn state(quarantine: &Quarantine, names: &[&str], now: Duration) -> QuarantineState {
    let content: Vec<_> = names.iter().map(|name| request(name)).collect();
    quarantine.state(&content, now)
}

/// Number of crashes because of which a request with this content is quarantined.
fn crashes_of(state: &QuarantineState) -> Option<usize> {
    match state {
        QuarantineState::Quarantined(cause) => Some(cause.crashes),
        _ => None,
    }
}

fn server(number: usize) -> ServerIncarnation {
    format!("s{number}").parse().unwrap()
}

fn id(number: usize) -> EvidenceId {
    format!("g1.{number}").parse().unwrap()
}

/// A quarantine with evidence of numbered servers' crashes, each with the requests lost with it.
fn quarantine(crashes: &[&[&str]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (number, lost) in crashes.iter().enumerate() {
        crash(&mut quarantine, number, lost);
    }
    quarantine
}

fn crash(quarantine: &mut Quarantine, number: usize, lost: &[&str]) -> Vec<QuarantineChange> {
    let mut evidence = CrashEvidence::default();
    for name in lost {
        evidence.add_crash(&server(number), request(name));
    }
    quarantine.add_evidence(id(number), evidence, NOW)
}

fn is_quarantined(quarantine: &Quarantine, name: &str) -> bool {
    crashes_of(&state(quarantine, &[name], LATER)).is_some()
}

#[test]
fn a_request_is_quarantined_after_three_servers_crashed_while_running_it() {
    let mut quarantine = quarantine(&[&["culprit"], &["culprit"]]);
    assert_eq!(
        state(&quarantine, &["culprit"], LATER),
        QuarantineState::SingleRun
    );

    let changes = crash(&mut quarantine, 2, &["culprit"]);

    let servers = vec![server(0), server(1), server(2)];
    assert_eq!(
        changes,
        [QuarantineChange::Quarantined(request("culprit"), servers)]
    );
    assert!(is_quarantined(&quarantine, "culprit"));
    assert_eq!(
        state(&quarantine, &["other"], LATER),
        QuarantineState::Clear
    );
}

#[test]
fn three_losses_at_one_incarnation_of_a_server_are_one_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let mut evidence = CrashEvidence::default();
        evidence.add_crash(&server(7), request("a"));
        quarantine.add_evidence(id(number), evidence, NOW);
    }

    assert!(!is_quarantined(&quarantine, "a"));
}

/// Requests lost together with the one that crashes servers must not be quarantined.
#[test]
fn requests_lost_beside_a_culprit_are_not_quarantined() {
    let crashes: [&[&str]; 4] = [
        &["culprit", "a", "b"],
        &["culprit", "a"],
        &["culprit", "a"],
        &["culprit"],
    ];

    let quarantine = quarantine(&crashes);

    assert!(is_quarantined(&quarantine, "culprit"));
    assert!(!is_quarantined(&quarantine, "a"));
    assert!(!is_quarantined(&quarantine, "b"));
}

#[test]
fn two_culprits_at_different_servers_are_both_quarantined() {
    let crashes: [&[&str]; 7] = [
        &["first"],
        &["second", "a"],
        &["first", "a"],
        &["second"],
        &["first"],
        &["second"],
        &["first"],
    ];

    let quarantine = quarantine(&crashes);

    assert!(is_quarantined(&quarantine, "first"));
    assert!(is_quarantined(&quarantine, "second"));
    assert!(!is_quarantined(&quarantine, "a"));
}

/// A culprit must not stay undetected behind a more frequent one.
#[test]
fn a_culprit_hidden_by_another_is_quarantined_at_its_next_crash() {
    let mut quarantine = quarantine(&[
        &["first", "second"],
        &["first", "second"],
        &["first", "second"],
        &["first"],
    ]);
    assert!(!is_quarantined(&quarantine, "second"));

    crash(&mut quarantine, 4, &["second"]);

    assert!(is_quarantined(&quarantine, "first"));
    assert!(is_quarantined(&quarantine, "second"));
}

/// A popular request runs at every server that crashes and must not be blamed for that.
#[test]
fn a_request_with_completed_runs_is_not_quarantined() {
    let mut quarantine = quarantine(&[&["popular"], &["popular"], &["popular"]]);
    assert!(quarantine.publishes_survival(&request("popular")));

    let evidence = CrashEvidence {
        survivals: vec![request("popular"); 2],
        ..CrashEvidence::default()
    };
    let changes = quarantine.add_evidence(id(9), evidence, NOW);

    assert_eq!(changes, [QuarantineChange::Released(request("popular"))]);
    assert!(!is_quarantined(&quarantine, "popular"));
    assert!(!quarantine.publishes_survival(&request("popular")));
}

/// A single completed run may only look complete.
#[test]
fn a_request_with_one_completed_run_is_quarantined_after_more_crashes() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    let evidence = CrashEvidence {
        survivals: vec![request("a")],
        ..CrashEvidence::default()
    };

    quarantine.add_evidence(id(9), evidence, NOW);

    assert!(is_quarantined(&quarantine, "a"));
}

/// A popular request must not be refused before its other runs could end.
#[test]
fn a_request_is_quarantined_only_some_time_after_its_last_crash() {
    let quarantine = quarantine(&[&["a"], &["a"], &["a"]]);

    let at_once = state(&quarantine, &["a"], NOW);
    let soon = state(&quarantine, &["a"], NOW + Duration::from_millis(500));

    assert_eq!(at_once, QuarantineState::SingleRun);
    assert_eq!(crashes_of(&soon), Some(3));
}

#[test]
fn the_order_of_evidence_does_not_matter() {
    let mut pieces: Vec<CrashEvidence> = Vec::new();
    for (number, lost) in [["a", "b"], ["a", "b"], ["a", "c"], ["d", "b"]]
        .iter()
        .enumerate()
    {
        let mut evidence = CrashEvidence::default();
        for name in lost {
            evidence.add_crash(&server(number), request(name));
        }
        pieces.push(evidence);
    }
    pieces[0].survivals.extend(vec![request("b"); 2]);
    let quarantined_after = |order: &mut dyn Iterator<Item = usize>| {
        let mut quarantine = Quarantine::default();
        for index in order {
            quarantine.add_evidence(id(index), pieces[index].clone(), NOW);
        }
        let quarantined: Vec<_> = quarantine
            .quarantined()
            .map(|(request, _)| request.clone())
            .collect();
        quarantined
    };

    let forwards = quarantined_after(&mut (0..4));
    let backwards = quarantined_after(&mut (0..4).rev());

    assert_eq!(forwards, [request("a")]);
    assert_eq!(forwards, backwards);
}

#[test]
fn evidence_expires_unless_it_is_published_again() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    assert_eq!(quarantine.renewal_of(&request("a"), LATER), None);
    let half = NOW + Duration::from_mins(5);
    let renewal = quarantine.renewal_of(&request("a"), half).unwrap();
    let last = NOW + Duration::from_secs(601);

    let mut without_renewal = quarantine.clone();
    without_renewal.add_evidence(id(8), CrashEvidence::default(), last);
    quarantine.add_evidence(id(7), renewal, half);
    quarantine.add_evidence(id(8), CrashEvidence::default(), last);

    assert_eq!(
        state(&without_renewal, &["a"], last),
        QuarantineState::Clear
    );
    assert_eq!(crashes_of(&state(&quarantine, &["a"], last)), Some(3));
}

#[test]
fn removing_evidence_releases_a_request() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);

    let changes = quarantine.remove_evidence(&id(1), NOW);

    assert_eq!(changes, [QuarantineChange::Released(request("a"))]);
    assert_eq!(quarantine.retain_evidence(|_| false, NOW), []);
    assert!(quarantine.is_empty());
}

#[test]
fn excess_evidence_is_dropped_oldest_first() {
    let mut quarantine = Quarantine::default();
    for number in 0..30_000 {
        let mut evidence = CrashEvidence::default();
        evidence.add_crash(&server(number), request(&format!("r{number}")));
        let now = NOW + Duration::from_millis(u64::try_from(number).unwrap());
        quarantine.add_evidence(id(number), evidence, now);
    }

    assert_eq!(state(&quarantine, &["r0"], LATER), QuarantineState::Clear);
    assert_eq!(
        state(&quarantine, &["r29999"], LATER),
        QuarantineState::Suspected
    );
}

#[test]
fn a_server_is_probed_once_for_all_runs_lost_at_it() {
    let mut lost = LostRuns::default();

    assert_eq!(
        lost.record_loss(&server(1), [request("a")], NOW),
        LossAction::Probe
    );
    assert_eq!(
        lost.record_loss(&server(1), [request("b")], NOW),
        LossAction::Wait
    );
    assert_eq!(
        lost.record_loss(&server(2), [request("a")], NOW),
        LossAction::Probe
    );

    let requests: Vec<_> = lost.mark_crashed(&server(1)).into_iter().collect();
    assert_eq!(requests.len(), 2);
    assert_eq!(
        lost.record_loss(&server(1), [request("c")], NOW),
        LossAction::Report
    );
}

/// Otherwise a crash would be missed because another run was lost at the server shortly before.
#[test]
fn a_server_that_was_found_listening_is_probed_again() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), [request("a")], NOW);
    lost.mark_not_crashed(&server(1));

    assert_eq!(
        lost.record_loss(&server(1), [request("b")], NOW),
        LossAction::Probe
    );

    let requests: Vec<_> = lost.mark_crashed(&server(1)).into_iter().collect();
    assert_eq!(
        requests,
        [request("b")],
        "the first run was lost without a crash"
    );
}

/// A server may restart before it is probed; then only the list shows that it is another
/// incarnation.
#[test]
fn a_server_that_is_no_longer_listed_counts_as_crashed_for_all_its_lost_runs() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), [request("a")], NOW);
    lost.mark_not_crashed(&server(1));
    lost.record_loss(&server(1), [request("b")], NOW);

    assert_eq!(lost.mark_gone(&server(1)).len(), 2);
    assert_eq!(
        lost.record_loss(&server(1), [request("c")], NOW),
        LossAction::Report
    );
}

/// A broken connection to a server that keeps running is no evidence against its request.
#[test]
fn runs_lost_at_a_server_that_keeps_running_expire() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), [request("a")], NOW);
    assert!(lost.unlisted(|_| true).is_empty());
    assert_eq!(lost.unlisted(|_| false), [server(1)]);

    lost.record_loss(&server(2), [request("b")], NOW + Duration::from_secs(13));

    assert!(lost.mark_crashed(&server(1)).is_empty());
}

/// A part crashes servers whatever else a request holds; no request ever comes twice.
#[test]
fn a_prompt_part_that_crashed_three_servers_quarantines_all_requests_with_it() {
    let quarantine = quarantine(&[
        &["part:first", "part:dead", "a"],
        &["part:dead", "b"],
        &["part:first", "part:dead", "c"],
    ]);

    let with_it = state(&quarantine, &["part:other", "part:dead", "d"], LATER);
    let without_it = state(&quarantine, &["part:other", "e"], LATER);

    assert_eq!(crashes_of(&with_it), Some(3));
    assert_eq!(without_it, QuarantineState::Clear);
}

/// A request that holds only some of the parts that explain the crashes shows which one it is.
#[test]
fn requests_with_one_of_two_parts_that_explain_the_crashes_run_one_at_a_time() {
    let mut quarantine = quarantine(&[&["part:dead", "part:beside"][..]; 3]);

    let both = state(&quarantine, &["part:dead", "part:beside"], LATER);
    let beside = state(&quarantine, &["part:beside", "a"], LATER);
    crash(&mut quarantine, 3, &["part:dead", "b"]);
    crash(&mut quarantine, 4, &["part:dead", "c"]);

    assert_eq!(crashes_of(&both), Some(3));
    assert_eq!(beside, QuarantineState::SingleRun);
    assert!(is_quarantined(&quarantine, "part:dead"));
    assert!(!is_quarantined(&quarantine, "part:beside"));
}

/// Guards against a part that is refused for good because it was also lost in an unrelated crash.
#[test]
fn a_part_with_one_unrelated_crash_more_than_the_crashing_part_may_clear_itself() {
    let mut quarantine = quarantine(&[
        &["part:first", "part:dead"],
        &["part:first", "part:dead"],
        &["part:first", "part:dead"],
        &["part:first"],
    ]);

    let first = state(&quarantine, &["part:first", "a"], LATER);
    let content = [request("part:first"), request("a")];
    quarantine.record_completion(&content, LATER);
    quarantine.record_completion(&content, LATER);

    assert_eq!(first, QuarantineState::SingleRun);
    assert!(!is_quarantined(&quarantine, "part:first"));
    let confirmed_at = LATER + Duration::from_secs(1);
    let dead = state(&quarantine, &["part:first", "part:dead"], confirmed_at);
    assert_eq!(crashes_of(&dead), Some(3));
}

/// Guards against two crashes that slow down every request with a popular part.
#[test]
fn a_part_that_completed_a_short_time_ago_is_exempt_from_single_runs() {
    let mut known = Quarantine::default();
    known.record_completion(&[request("part:popular")], NOW);
    let mut unknown = Quarantine::default();
    for quarantine in [&mut known, &mut unknown] {
        crash(quarantine, 0, &["part:popular"]);
        crash(quarantine, 1, &["part:popular"]);
    }

    let after_pause = NOW + Duration::from_secs(11);

    assert_eq!(
        state(&known, &["part:popular"], LATER),
        QuarantineState::Suspected
    );
    assert_eq!(
        state(&unknown, &["part:popular"], LATER),
        QuarantineState::SingleRun
    );
    assert_eq!(
        state(&known, &["part:popular"], after_pause),
        QuarantineState::SingleRun
    );
}

/// Guards against a popular part that is quarantined before its other runs could end.
#[test]
fn a_part_that_completed_a_short_time_ago_gets_more_time_to_clear_itself() {
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(&[request("part:popular")], NOW);
    for number in 0..6 {
        crash(&mut quarantine, number, &["part:popular"]);
    }

    let soon = state(&quarantine, &["part:popular"], NOW + Duration::from_secs(1));
    for _ in 0..3 {
        quarantine.record_completion(&[request("part:popular")], NOW + Duration::from_secs(1));
    }

    assert_eq!(soon, QuarantineState::Suspected);
    assert!(!is_quarantined(&quarantine, "part:popular"));
}

/// Guards against a part that completed before it began to crash servers and is never quarantined.
#[test]
fn a_part_that_begins_to_crash_servers_is_quarantined() {
    let mut quarantine = Quarantine::default();
    for _ in 0..50 {
        quarantine.record_completion(&[request("part:dead")], NOW);
    }
    for number in 0..3 {
        crash(&mut quarantine, number, &["part:dead"]);
    }

    assert!(is_quarantined(&quarantine, "part:dead"));
}

/// A claim counts as a crash, as nobody would publish one if its entry ended.
#[test]
fn a_claimed_run_counts_as_a_crash_until_it_is_withdrawn() {
    let mut quarantine = quarantine(&[&["part:dead"], &["part:dead"]]);
    let claim = CrashEvidence {
        claimed: vec![request("part:dead")],
        ..CrashEvidence::default()
    };

    quarantine.add_evidence(id(9), claim, NOW);
    let claimed = state(&quarantine, &["part:dead"], LATER);
    quarantine.remove_evidence(&id(9), LATER);

    assert_eq!(crashes_of(&claimed), Some(3));
    assert_eq!(
        state(&quarantine, &["part:dead"], LATER),
        QuarantineState::SingleRun
    );
}

/// Guards against a claimed part that hides another one with as many real crashes.
#[test]
fn a_claim_explains_no_crashes() {
    let mut quarantine = quarantine(&[&["part:dead", "part:beside"][..]; 3]);
    let claim = CrashEvidence {
        claimed: vec![request("part:beside")],
        ..CrashEvidence::default()
    };

    quarantine.add_evidence(id(9), claim, NOW);

    let both = state(&quarantine, &["part:dead", "part:beside"], LATER);
    let dead = quarantine.quarantined();
    assert!(crashes_of(&both).is_some());
    assert!(
        dead.map(|(suspect, _)| suspect)
            .any(|suspect| *suspect == request("part:dead"))
    );
}

/// Guards against evidence that entries of the version before cannot read, or the other way round.
#[test]
fn evidence_of_whole_requests_has_kept_its_form() {
    let text = r#"{"crashes":[{"server":"s1","suspects":["711c9124e5fddaec0fdb201d0cd0d665"]}]}"#;

    let read: CrashEvidence = serde_json::from_str(text).unwrap();

    let suspects = &read.crashes[0].suspects;
    assert_eq!(suspects[0].to_string(), "711c9124e5fddaec0fdb201d0cd0d665");
    assert!(!suspects[0].is_prompt_part());
    assert!(read.claimed.is_empty());
}

/// Guards against completed runs that count twice, as own ones and as published ones.
#[test]
fn completed_runs_that_are_published_count_once() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    quarantine.record_completion(&[request("a")], NOW);

    let survivals = quarantine.take_survivals();
    let published = CrashEvidence {
        survivals: survivals.clone(),
        ..CrashEvidence::default()
    };
    quarantine.add_evidence(id(9), published, NOW);

    assert_eq!(survivals, [request("a")]);
    assert!(is_quarantined(&quarantine, "a"));
}

/// Guards against a write of each entry for each completed run of a popular part.
#[test]
fn only_completed_runs_that_others_need_are_published() {
    let mut quarantine = quarantine(&[&["part:popular"]; 4].map(|lost| &lost[..]));
    for _ in 0..50 {
        quarantine.record_completion(&[request("part:popular")], NOW);
    }

    let by_others = CrashEvidence {
        survivals: vec![request("part:popular")],
        ..CrashEvidence::default()
    };
    quarantine.add_evidence(id(9), by_others, NOW);

    assert_eq!(quarantine.take_survivals(), [request("part:popular")]);
}

/// Guards against a popular part that was lost in one crash, completed often since, and then begins
/// to crash servers.
#[test]
fn completed_runs_do_not_count_against_later_crashes() {
    let mut quarantine = quarantine(&[&["part:dead"]]);
    for _ in 0..500 {
        quarantine.record_completion(&[request("part:dead")], NOW);
    }

    for number in 1..4 {
        crash(&mut quarantine, number, &["part:dead"]);
    }

    assert!(is_quarantined(&quarantine, "part:dead"));
}

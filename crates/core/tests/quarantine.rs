//! Quarantine of requests that crash servers.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, RequestFingerprint, ServerIncarnation};
use amaranthscale_core::process::{
    CrashEvidence, LossAction, LostRuns, Quarantine, QuarantineChange, QuarantineState,
};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(102);

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(None, "h.example", name, b"")
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
    matches!(
        quarantine.state(request(name), LATER),
        QuarantineState::Quarantined(_)
    )
}

#[test]
fn a_request_is_quarantined_after_three_servers_crashed_while_running_it() {
    let mut quarantine = quarantine(&[&["culprit"], &["culprit"]]);
    assert_eq!(
        quarantine.state(request("culprit"), LATER),
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
        quarantine.state(request("other"), LATER),
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
    assert!(quarantine.publishes_survival(request("popular")));

    let evidence = CrashEvidence {
        crashes: Vec::new(),
        survivals: vec![request("popular"); 2],
    };
    let changes = quarantine.add_evidence(id(9), evidence, NOW);

    assert_eq!(changes, [QuarantineChange::Released(request("popular"))]);
    assert!(!is_quarantined(&quarantine, "popular"));
    assert!(!quarantine.publishes_survival(request("popular")));
}

/// A single completed run may only look complete.
#[test]
fn a_request_with_one_completed_run_is_quarantined_after_more_crashes() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    let evidence = CrashEvidence {
        crashes: Vec::new(),
        survivals: vec![request("a")],
    };

    quarantine.add_evidence(id(9), evidence, NOW);

    assert!(is_quarantined(&quarantine, "a"));
}

/// A popular request must not be refused before its other runs could end.
#[test]
fn a_request_is_quarantined_only_some_time_after_its_last_crash() {
    let quarantine = quarantine(&[&["a"], &["a"], &["a"]]);

    let at_once = quarantine.state(request("a"), NOW);
    let soon = quarantine.state(request("a"), NOW + Duration::from_millis(500));

    assert_eq!(at_once, QuarantineState::SingleRun);
    assert_eq!(soon, QuarantineState::Quarantined(3));
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
    pieces[0].survivals.extend([request("b"); 2]);
    let quarantined_after = |order: &mut dyn Iterator<Item = usize>| {
        let mut quarantine = Quarantine::default();
        for index in order {
            quarantine.add_evidence(id(index), pieces[index].clone(), NOW);
        }
        let quarantined: Vec<_> = quarantine
            .quarantined()
            .map(|(request, _)| request)
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
    assert_eq!(quarantine.renewal_of(request("a"), LATER), None);
    let half = NOW + Duration::from_mins(5);
    let renewal = quarantine.renewal_of(request("a"), half).unwrap();
    let last = NOW + Duration::from_secs(601);

    let mut without_renewal = quarantine.clone();
    without_renewal.add_evidence(id(8), CrashEvidence::default(), last);
    quarantine.add_evidence(id(7), renewal, half);
    quarantine.add_evidence(id(8), CrashEvidence::default(), last);

    assert_eq!(
        without_renewal.state(request("a"), last),
        QuarantineState::Clear
    );
    assert_eq!(
        quarantine.state(request("a"), last),
        QuarantineState::Quarantined(3)
    );
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

    assert_eq!(
        quarantine.state(request("r0"), LATER),
        QuarantineState::Clear
    );
    assert_eq!(
        quarantine.state(request("r29999"), LATER),
        QuarantineState::Suspected
    );
}

#[test]
fn a_server_is_probed_once_for_all_runs_lost_at_it() {
    let mut lost = LostRuns::default();

    assert_eq!(
        lost.record_loss(&server(1), request("a"), NOW),
        LossAction::Probe
    );
    assert_eq!(
        lost.record_loss(&server(1), request("b"), NOW),
        LossAction::Wait
    );
    assert_eq!(
        lost.record_loss(&server(2), request("a"), NOW),
        LossAction::Probe
    );

    let requests: Vec<_> = lost.mark_crashed(&server(1)).into_iter().collect();
    assert_eq!(requests.len(), 2);
    assert_eq!(
        lost.record_loss(&server(1), request("c"), NOW),
        LossAction::Report
    );
}

/// Otherwise a crash would be missed because another run was lost at the server shortly before.
#[test]
fn a_server_that_was_found_listening_is_probed_again() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), request("a"), NOW);
    lost.mark_not_crashed(&server(1));

    assert_eq!(
        lost.record_loss(&server(1), request("b"), NOW),
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
    lost.record_loss(&server(1), request("a"), NOW);
    lost.mark_not_crashed(&server(1));
    lost.record_loss(&server(1), request("b"), NOW);

    assert_eq!(lost.mark_gone(&server(1)).len(), 2);
    assert_eq!(
        lost.record_loss(&server(1), request("c"), NOW),
        LossAction::Report
    );
}

/// A broken connection to a server that keeps running is no evidence against its request.
#[test]
fn runs_lost_at_a_server_that_keeps_running_expire() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), request("a"), NOW);
    assert!(lost.unlisted(|_| true).is_empty());
    assert_eq!(lost.unlisted(|_| false), [server(1)]);

    lost.record_loss(&server(2), request("b"), NOW + Duration::from_secs(13));

    assert!(lost.mark_crashed(&server(1)).is_empty());
}

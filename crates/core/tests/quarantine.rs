//! Which requests are held back because servers crash under them.

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

/// Crashes of servers by number, each with the requests that were lost with it.
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

fn is_held(quarantine: &Quarantine, name: &str) -> bool {
    matches!(
        quarantine.state(request(name), LATER),
        QuarantineState::Quarantined(_)
    )
}

#[test]
fn a_request_is_held_back_after_three_servers_crashed_under_it() {
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
    assert!(is_held(&quarantine, "culprit"));
    assert_eq!(
        quarantine.state(request("other"), LATER),
        QuarantineState::Clear
    );
}

#[test]
fn three_losses_at_one_life_of_a_server_are_one_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let mut evidence = CrashEvidence::default();
        evidence.add_crash(&server(7), request("a"));
        quarantine.add_evidence(id(number), evidence, NOW);
    }

    assert!(!is_held(&quarantine, "a"));
}

/// Guards against requests that are blamed as they are lost beside the one to blame.
#[test]
fn bystanders_of_a_culprit_are_not_held_back() {
    let crashes: [&[&str]; 4] = [
        &["culprit", "a", "b"],
        &["culprit", "a"],
        &["culprit", "a"],
        &["culprit"],
    ];

    let quarantine = quarantine(&crashes);

    assert!(is_held(&quarantine, "culprit"));
    assert!(!is_held(&quarantine, "a"));
    assert!(!is_held(&quarantine, "b"));
}

#[test]
fn two_culprits_at_servers_of_their_own_are_both_held_back() {
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

    assert!(is_held(&quarantine, "first"));
    assert!(is_held(&quarantine, "second"));
    assert!(!is_held(&quarantine, "a"));
}

/// Guards against a culprit that stays hidden behind a more frequent one.
#[test]
fn a_culprit_hidden_behind_another_is_held_back_at_its_next_crash() {
    let mut quarantine = quarantine(&[
        &["first", "second"],
        &["first", "second"],
        &["first", "second"],
        &["first"],
    ]);
    assert!(!is_held(&quarantine, "second"));

    crash(&mut quarantine, 4, &["second"]);

    assert!(is_held(&quarantine, "first"));
    assert!(is_held(&quarantine, "second"));
}

/// Guards against a popular request that is blamed as it is at every server that crashes.
#[test]
fn a_request_that_also_runs_to_its_end_is_not_to_blame() {
    let mut quarantine = quarantine(&[&["popular"], &["popular"], &["popular"]]);
    assert!(quarantine.publishes_survival(request("popular")));

    let evidence = CrashEvidence {
        crashes: Vec::new(),
        survivals: vec![request("popular"); 2],
    };
    let changes = quarantine.add_evidence(id(9), evidence, NOW);

    assert_eq!(changes, [QuarantineChange::Released(request("popular"))]);
    assert!(!is_held(&quarantine, "popular"));
    assert!(!quarantine.publishes_survival(request("popular")));
}

/// Guards against one run that only looks complete.
#[test]
fn a_request_that_ran_to_its_end_once_is_held_back_after_more_crashes() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    let evidence = CrashEvidence {
        crashes: Vec::new(),
        survivals: vec![request("a")],
    };

    quarantine.add_evidence(id(9), evidence, NOW);

    assert!(is_held(&quarantine, "a"));
}

/// Guards against a popular request that is refused before its other runs could end.
#[test]
fn a_request_is_held_back_only_some_time_after_its_last_crash() {
    let quarantine = quarantine(&[&["a"], &["a"], &["a"]]);

    let at_once = quarantine.state(request("a"), NOW);
    let soon = quarantine.state(request("a"), NOW + Duration::from_millis(500));

    assert_eq!(at_once, QuarantineState::SingleRun);
    assert_eq!(soon, QuarantineState::Quarantined(3));
}

#[test]
fn evidence_counts_alike_in_any_order() {
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
    let take = |order: &mut dyn Iterator<Item = usize>| {
        let mut quarantine = Quarantine::default();
        for index in order {
            quarantine.add_evidence(id(index), pieces[index].clone(), NOW);
        }
        let held: Vec<_> = quarantine
            .quarantined()
            .map(|(request, _)| request)
            .collect();
        held
    };

    let forwards = take(&mut (0..4));
    let backwards = take(&mut (0..4).rev());

    assert_eq!(forwards, [request("a")]);
    assert_eq!(forwards, backwards);
}

#[test]
fn evidence_is_forgotten_unless_it_is_told_again() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);
    assert_eq!(quarantine.renewal_of(request("a"), LATER), None);
    let half = NOW + Duration::from_mins(5);
    let renewal = quarantine.renewal_of(request("a"), half).unwrap();
    let last = NOW + Duration::from_secs(601);

    let mut forgetful = quarantine.clone();
    forgetful.add_evidence(id(8), CrashEvidence::default(), last);
    quarantine.add_evidence(id(7), renewal, half);
    quarantine.add_evidence(id(8), CrashEvidence::default(), last);

    assert_eq!(forgetful.state(request("a"), last), QuarantineState::Clear);
    assert_eq!(
        quarantine.state(request("a"), last),
        QuarantineState::Quarantined(3)
    );
}

#[test]
fn evidence_that_is_removed_releases_a_request() {
    let mut quarantine = quarantine(&[&["a"], &["a"], &["a"]]);

    let changes = quarantine.remove_evidence(&id(1), NOW);

    assert_eq!(changes, [QuarantineChange::Released(request("a"))]);
    assert_eq!(quarantine.retain_evidence(|_| false, NOW), []);
    assert!(quarantine.is_empty());
}

#[test]
fn a_flood_of_evidence_is_bounded_and_the_oldest_goes_first() {
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
fn a_server_is_looked_at_once_for_all_runs_that_it_lost() {
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

/// Guards against a crash that nobody looks for, as the server had lost another run shortly before.
#[test]
fn a_server_that_was_found_listening_is_looked_at_again() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), request("a"), NOW);
    lost.mark_not_crashed(&server(1));

    assert_eq!(
        lost.record_loss(&server(1), request("b"), NOW),
        LossAction::Probe
    );

    let requests: Vec<_> = lost.mark_crashed(&server(1)).into_iter().collect();
    assert_eq!(requests, [request("b")], "the first one outlived its run");
}

/// A server may be back before anybody looks: then only the list tells that another life listens.
#[test]
fn a_server_that_is_listed_no_more_is_to_blame_for_all_runs_that_it_lost() {
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

/// A broken connection to a server that lives on says nothing of its request.
#[test]
fn runs_lost_at_a_server_that_stays_are_forgotten() {
    let mut lost = LostRuns::default();
    lost.record_loss(&server(1), request("a"), NOW);
    assert!(lost.unlisted(|_| true).is_empty());
    assert_eq!(lost.unlisted(|_| false), [server(1)]);

    lost.record_loss(&server(2), request("b"), NOW + Duration::from_secs(13));

    assert!(lost.mark_crashed(&server(1)).is_empty());
}

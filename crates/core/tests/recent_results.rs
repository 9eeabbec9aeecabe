//! Which calls the answers on one connection belong to.
#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use amaranthscale_core::process::{AnswerOrigin, BatchEnd, PieceEnd, RecentResults};

fn completed(number: usize) -> PieceEnd {
    PieceEnd::Completed(format!("10.0.0.1:80/{number}").parse().unwrap())
}

fn answer(numbers: impl IntoIterator<Item = usize>) -> BatchEnd {
    BatchEnd::Pieces(numbers.into_iter().map(completed).collect())
}

#[test]
fn answers_with_new_results_belong_to_their_calls() {
    let mut recent_results = RecentResults::default();

    let origins =
        (0..100).map(|number| recent_results.record(&answer([2 * number, 2 * number + 1])));

    assert!(
        origins
            .into_iter()
            .all(|origin| origin == AnswerOrigin::Current)
    );
}

/// Guards against an answer that is sent once more and taken for that of a later call.
#[test]
fn a_repeated_answer_belongs_to_an_earlier_call() {
    let mut recent_results = RecentResults::default();
    for number in 0..16 {
        recent_results.record(&answer([number]));
    }

    for number in 0..16 {
        assert_eq!(
            recent_results.record(&answer([number])),
            AnswerOrigin::Earlier
        );
    }
}

/// Guards against an earlier answer that is missed because some of its pieces had failed.
#[test]
fn one_known_result_is_enough() {
    let mut recent_results = RecentResults::default();
    recent_results.record(&BatchEnd::Pieces(vec![
        PieceEnd::InputMissing,
        completed(1),
    ]));

    let again = recent_results.record(&answer([2, 1]));

    assert_eq!(again, AnswerOrigin::Earlier);
}

#[test]
fn answers_without_results_belong_to_an_unknown_call() {
    let mut recent_results = RecentResults::default();
    let without = [
        BatchEnd::Pieces(vec![PieceEnd::InputMissing, PieceEnd::Failed]),
        BatchEnd::Pieces(Vec::new()),
        BatchEnd::Rejected,
        BatchEnd::NoAnswer,
    ];

    for answer in without {
        assert_eq!(recent_results.record(&answer), AnswerOrigin::Unknown);
    }
}

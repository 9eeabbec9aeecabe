//! Repeats that several entries send within one bound.

use std::time::Duration;

use amaranthscale_core::process::{RetryBudgetSettings, SharedRetryBudget};
use quickcheck::quickcheck;

const TERMS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn taken(budget: &mut SharedRetryBudget, live: usize, now: Duration) -> usize {
    (0..1_000).filter(|_| budget.try_retry(live, now)).count()
}

#[test]
fn a_share_of_the_requests_may_be_repeated() {
    let mut quiet = SharedRetryBudget::new(TERMS);
    let mut busy = SharedRetryBudget::new(TERMS);
    for _ in 0..100 {
        busy.record_request(ms(1_000));
    }

    let (quiet, busy) = (
        taken(&mut quiet, 5, ms(1_000)),
        taken(&mut busy, 5, ms(1_000)),
    );

    assert_eq!(busy - quiet, 14);
}

#[test]
fn repeats_come_back_when_their_window_is_over() {
    let mut budget = SharedRetryBudget::new(TERMS);
    let first = taken(&mut budget, 1, ms(1_000));

    assert_eq!(taken(&mut budget, 1, ms(9_000)), 0);
    assert_eq!(taken(&mut budget, 1, ms(13_000)), first);
}

/// Every server of a service fails, and every entry repeats as much as it may. Together they must
/// stay within what the service allows in any window, or the repeats keep it down.
#[test]
fn all_entries_together_stay_within_the_bound() {
    let entries = 5;
    let mut budgets = vec![SharedRetryBudget::new(TERMS); entries];
    let mut sent_at = Vec::new();

    for step in 0..600 {
        let now = ms(step * 50);
        for budget in &mut budgets {
            budget.record_request(now);
            if budget.try_retry(entries, now) {
                sent_at.push(now);
            }
        }
    }

    let requests_in_window = 10_000 / 50 * entries;
    let bound = f64::from(u32::try_from(requests_in_window).unwrap()) * TERMS.ratio + TERMS.slack;
    for start in &sent_at {
        let in_window = sent_at
            .iter()
            .filter(|at| *at >= start && **at < *start + TERMS.window);
        let in_window = u32::try_from(in_window.count()).unwrap();
        assert!(f64::from(in_window) <= bound, "{in_window} from {start:?}");
    }
}

quickcheck! {
    fn a_single_entry_never_exceeds_the_bound(steps: Vec<(u8, bool)>) -> bool {
        let mut budget = SharedRetryBudget::new(TERMS);
        let mut now = Duration::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        steps.into_iter().all(|(pause_ms, is_request)| {
            now += ms(u64::from(pause_ms) * 4);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_retry(1, now) {
                repeats.push(now);
            }
            let within = |at: &&Duration| now.saturating_sub(**at) < TERMS.window;
            let requests = u32::try_from(requests.iter().filter(within).count()).unwrap();
            let repeats = u32::try_from(repeats.iter().filter(within).count()).unwrap();
            f64::from(repeats) <= f64::from(requests) * TERMS.ratio + TERMS.slack
        })
    }
}

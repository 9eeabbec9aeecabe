//! Retries of several entries within one shared budget.

use std::time::Duration;

use amaranthscale_core::process::{RecentMaximum, RetryBudgetSettings, SharedRetryBudget};
use quickcheck::quickcheck;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
    is_restart: false,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn retries(budget: &mut SharedRetryBudget, live: usize, now: Duration) -> usize {
    (0..1_000).filter(|_| budget.try_retry(live, now)).count()
}

#[test]
fn a_share_of_the_requests_may_be_retried() {
    let mut quiet = SharedRetryBudget::new(SETTINGS);
    let mut busy = SharedRetryBudget::new(SETTINGS);
    for _ in 0..100 {
        busy.record_request(ms(1_000));
    }

    let (quiet, busy) = (
        retries(&mut quiet, 5, ms(1_000)),
        retries(&mut busy, 5, ms(1_000)),
    );

    assert_eq!(busy - quiet, 14);
}

#[test]
fn retries_are_available_again_after_their_window() {
    let mut budget = SharedRetryBudget::new(SETTINGS);
    let first = retries(&mut budget, 1, ms(1_000));

    assert_eq!(retries(&mut budget, 1, ms(9_000)), 0);
    assert_eq!(retries(&mut budget, 1, ms(13_000)), first);
}

/// Every server of a service fails, and every entry retries as often as it may. Together they must
/// stay within the budget in any window, as otherwise the retries keep the service down.
#[test]
fn all_entries_together_stay_within_the_budget() {
    let entries = 5;
    let mut budgets = vec![SharedRetryBudget::new(SETTINGS); entries];
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
    let limit =
        f64::from(u32::try_from(requests_in_window).unwrap()) * SETTINGS.ratio + SETTINGS.slack;
    for start in &sent_at {
        let in_window = sent_at
            .iter()
            .filter(|at| *at >= start && **at < *start + SETTINGS.window);
        let in_window = u32::try_from(in_window.count()).unwrap();
        assert!(f64::from(in_window) <= limit, "{in_window} from {start:?}");
    }
}

quickcheck! {
    fn a_single_entry_never_exceeds_the_budget(steps: Vec<(u8, bool)>) -> bool {
        let mut budget = SharedRetryBudget::new(SETTINGS);
        let mut now = Duration::ZERO;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        steps.into_iter().all(|(pause_ms, is_request)| {
            now += ms(u64::from(pause_ms) * 4);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_retry(1, now) {
                retries.push(now);
            }
            let within = |at: &&Duration| now.saturating_sub(**at) < SETTINGS.window;
            let requests = u32::try_from(requests.iter().filter(within).count()).unwrap();
            let retries = u32::try_from(retries.iter().filter(within).count()).unwrap();
            f64::from(retries) <= f64::from(requests) * SETTINGS.ratio + SETTINGS.slack
        })
    }
}

/// A fifth of the requests and the slack, by the requests of this window, the one before it or the
/// one half a window before it, whichever has most.
fn allowed(requests: &[Duration], window_start: Duration) -> f64 {
    let starts = [
        window_start,
        window_start.saturating_sub(SETTINGS.window / 2),
        window_start.saturating_sub(SETTINGS.window),
    ];
    let counts = starts.map(|start| count_within(requests, start));
    let most = counts.into_iter().max().unwrap_or_default();
    f64::from(most) * SETTINGS.ratio + SETTINGS.slack
}

fn count_within(times: &[Duration], start: Duration) -> u32 {
    let within = |at: &&Duration| **at >= start && **at < start + SETTINGS.window;
    let count = times.iter().filter(within).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn exceeded_window(requests: &[Duration], retries: &[Duration]) -> Option<Duration> {
    let is_exceeded =
        |start: &&Duration| f64::from(count_within(retries, **start)) > allowed(requests, **start);
    retries.iter().find(is_exceeded).copied()
}

/// Guards against entries that restart and spend the retries of their earlier processes once more.
#[test]
fn entries_that_restart_stay_within_the_budget() {
    for restart_interval_ms in [700, 1_500, 3_000, 6_000] {
        let entries = 5;
        let mut processes = vec![(SharedRetryBudget::new(SETTINGS), Duration::ZERO); entries];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in 0..600 {
            let now = ms(step * 50);
            for (number, (budget, started_at)) in processes.iter_mut().enumerate() {
                let turn = now.as_millis() + 100 * number as u128;
                if now > SETTINGS.window && turn.is_multiple_of(restart_interval_ms) {
                    let settings = RetryBudgetSettings {
                        is_restart: true,
                        ..SETTINGS
                    };
                    (*budget, *started_at) = (SharedRetryBudget::new(settings), now);
                }
                let since_start = now.saturating_sub(*started_at);
                budget.record_request(since_start);
                requests.push(now);
                while budget.try_retry(entries, since_start) {
                    retries.push(now);
                }
            }
        }

        assert_eq!(
            exceeded_window(&requests, &retries),
            None,
            "{restart_interval_ms} ms"
        );
    }
}

/// Guards against entries that leave while the others take over their parts of the slack at once.
#[test]
fn entries_that_leave_one_after_the_other_stay_within_the_budget() {
    let entries = 5;
    let mut budgets: Vec<_> = (0..entries)
        .map(|_| {
            let announced = RecentMaximum::new(SETTINGS.window);
            (SharedRetryBudget::new(SETTINGS), announced)
        })
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());

    for step in 0..600 {
        let now = ms(step * 50);
        if step > 200 && step % 20 == 0 && budgets.len() > 1 {
            budgets.pop();
        }
        let left = budgets.len();
        for (budget, announced) in &mut budgets {
            if step % 40 == 0 {
                budget.record_request(now);
                requests.push(now);
            }
            while budget.try_retry(announced.record(left, now), now) {
                retries.push(now);
            }
        }
    }

    assert_eq!(exceeded_window(&requests, &retries), None);
}

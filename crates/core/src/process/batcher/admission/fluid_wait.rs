//! Wait of a job for a service while more urgent work keeps arriving.

/// Longest forecast wait; a longer one is above the limit of any job.
const MAX_WAIT_S: f64 = 600.0;

/// Work of one order class that is expected to arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ArrivingWork {
    /// Fraction of the service's capacity that it takes.
    pub(super) rate: f64,
    /// Seconds from a job's arrival until it reaches the service: its earlier stages.
    pub(super) lag_s: f64,
    /// Seconds until arriving work of the class is ordered behind the job.
    pub(super) window_s: f64,
}

/// Seconds until a service has completed a backlog and the more urgent work that arrives meanwhile,
/// at the earliest when the job reaches the service.
///
/// Solves `t = backlog + Σ rate · min(t - lag, window)` from the job's arrival at the service on.
/// Arriving work keeps a service busy before that as well: otherwise the last stage of a long path
/// would seem free whenever its current backlog is short.
pub(super) fn fluid_wait(backlog_s: f64, not_before_s: f64, arriving: &[ArrivingWork]) -> f64 {
    let mut changes = Vec::with_capacity(2 * arriving.len() + 1);
    for work in arriving {
        changes.push((work.lag_s, work.rate));
        changes.push((work.lag_s + work.window_s, -work.rate));
    }
    // The job's own arrival changes no rate, but the backlog may be empty from there on.
    changes.push((not_before_s, 0.0));
    changes.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    let (mut at_s, mut left_s, mut rate) = (0.0, backlog_s, 0.0);
    for (change_s, change) in changes {
        let drained_at_s = drained_at(at_s, left_s, rate);
        if at_s >= not_before_s && drained_at_s <= change_s {
            return drained_at_s;
        }
        left_s = f64::max(left_s + (change_s - at_s) * (rate - 1.0), 0.0);
        at_s = change_s;
        rate += change;
    }
    drained_at(at_s, left_s, rate)
}

/// When a backlog is empty, if work keeps arriving at a rate.
fn drained_at(at_s: f64, left_s: f64, rate: f64) -> f64 {
    if left_s <= 0.0 {
        at_s
    } else if rate >= 1.0 {
        MAX_WAIT_S
    } else {
        (at_s + left_s / (1.0 - rate)).min(MAX_WAIT_S)
    }
}

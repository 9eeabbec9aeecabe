//! Arrival times of requests.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{LoadPlan, OrganisationLoad};

/// Added to the seed for each organisation, so that their arrivals are independent.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// One request's arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// Time after the start.
    pub at: Duration,
    /// Index of the organisation in the plan.
    pub organisation: usize,
}

/// All arrivals of a plan, ordered by time.
///
/// Each organisation's arrivals are a Poisson process with a higher rate in bursts; the same plan
/// and seed produce the same times.
#[derive(Debug)]
pub struct Arrivals {
    arrivals: std::vec::IntoIter<Arrival>,
}

impl Arrivals {
    /// The arrivals of a plan.
    #[must_use]
    pub fn of(plan: &LoadPlan) -> Self {
        let mut arrivals = Vec::new();
        let seeds =
            std::iter::successors(Some(plan.seed), |seed| Some(seed.wrapping_add(SEED_STEP)));
        for ((organisation, load), seed) in plan.organisations.iter().enumerate().zip(seeds) {
            let times = times(load, plan.duration, seed);
            arrivals.extend(times.into_iter().map(|at| Arrival { at, organisation }));
        }
        arrivals.sort_unstable();
        let arrivals = arrivals.into_iter();
        Self { arrivals }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.arrivals.next()
    }
}

/// Draws arrivals at the maximum rate and thins them to the rate at each time.
fn times(load: &OrganisationLoad, duration: Duration, seed: u64) -> Vec<Duration> {
    let max_rate_per_s = load.max_rate_per_s();
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut times, mut at_s) = (Vec::new(), 0.0);
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_s -= uniform.ln() / max_rate_per_s;
        if at_s >= duration.as_secs_f64() {
            return times;
        }
        let at = Duration::from_secs_f64(at_s);
        if random.random_range(0.0..max_rate_per_s) < load.rate_at(at) {
            times.push(at);
        }
    }
}

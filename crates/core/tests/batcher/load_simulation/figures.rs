use std::time::Duration;

use super::deployment::Deployment;

/// Measurements of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteFigures {
    /// Requests; each counts once, whatever its attempts.
    pub requests: usize,
    /// Answered within the target latency.
    pub in_time: usize,
    /// Answered later.
    pub late: usize,
    /// Refusals at arrival and by displacement, of all attempts.
    pub refused: usize,
    /// Refusals within 100 ms of the attempt's arrival.
    pub refused_early: usize,
    /// Time of each refusal since the attempt's arrival.
    pub refusal_times: Vec<Duration>,
    /// Displaced jobs.
    pub displaced: usize,
    /// Jobs that failed after they had been admitted.
    pub failed: usize,
    /// Admitted jobs.
    pub admitted: usize,
    /// Server time spent on jobs that did not end with their results.
    pub wasted: Duration,
    /// Answered within the target latency, by organisation.
    pub in_time_by_organisation: [usize; 16],
    /// Requests by organisation.
    pub requests_by_organisation: [usize; 16],
}

impl RouteFigures {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_early += other.refused_early;
        self.refusal_times.extend(other.refusal_times);
        self.displaced += other.displaced;
        self.failed += other.failed;
        self.admitted += other.admitted;
        self.wasted += other.wasted;
        let sums = self.in_time_by_organisation.iter_mut();
        for (sum, other) in sums.zip(other.in_time_by_organisation) {
            *sum += other;
        }
        let sums = self.requests_by_organisation.iter_mut();
        for (sum, other) in sums.zip(other.requests_by_organisation) {
            *sum += other;
        }
    }

    /// Answers, in time or late.
    pub const fn served(&self) -> usize {
        self.in_time + self.late
    }

    pub fn add_refusal(&mut self, waited: Duration) {
        self.refused += 1;
        self.refused_early += usize::from(waited <= Duration::from_millis(100));
        self.refusal_times.push(waited);
    }
}

/// Measurements of one run.
#[derive(Debug, Clone)]
pub struct Figures {
    deployment: &'static Deployment,
    /// By route.
    pub routes: Vec<RouteFigures>,
    /// Pieces without storage for their result.
    pub storage_full: usize,
    /// Server time of all calls.
    pub busy: Duration,
}

impl Figures {
    pub fn new(deployment: &'static Deployment) -> Self {
        Self {
            deployment,
            routes: vec![RouteFigures::default(); deployment.routes.len()],
            storage_full: 0,
            busy: Duration::ZERO,
        }
    }

    /// Adds the figures of another run.
    pub fn add(&mut self, other: Self) {
        for (route, other) in self.routes.iter_mut().zip(other.routes) {
            route.add(other);
        }
        self.storage_full += other.storage_full;
        self.busy += other.busy;
    }

    /// Figures of the route with the least urgent rank.
    pub fn least_urgent(&self) -> &RouteFigures {
        &self.routes[self.deployment.least_urgent()]
    }

    /// The time within which a fraction of the refusals came.
    pub fn refusal_time(&self, percent: usize) -> Duration {
        let times = self.routes.iter().flat_map(|route| &route.refusal_times);
        let mut times: Vec<_> = times.copied().collect();
        times.sort_unstable();
        let index = times.len() * percent / 100;
        times.get(index).copied().unwrap_or_default()
    }

    /// Sum of a figure of all routes.
    pub fn total(&self, figure: impl Fn(&RouteFigures) -> usize) -> usize {
        self.routes.iter().map(figure).sum()
    }

    /// Server time spent on jobs that did not end with their results.
    pub fn wasted(&self) -> Duration {
        self.routes.iter().map(|route| route.wasted).sum()
    }

    /// Value of the answers: late ones have a sixth of theirs.
    pub fn value(&self) -> f64 {
        let count = |count: usize| f64::from(u32::try_from(count).unwrap());
        let routes = self.routes.iter().zip(self.deployment.routes);
        let values = routes.map(|(figures, route)| {
            route.value * (count(figures.in_time) + count(figures.late) / 6.0)
        });
        values.sum()
    }
}

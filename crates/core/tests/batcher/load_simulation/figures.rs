use std::time::Duration;

use super::callers::ROUTES;

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

/// Measurements of one run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// By route.
    pub routes: Vec<RouteFigures>,
    /// Pieces without storage for their result.
    pub storage_full: usize,
    /// Server time of all calls.
    pub busy: Duration,
}

impl Figures {
    pub fn new() -> Self {
        Self {
            routes: vec![RouteFigures::default(); ROUTES.len()],
            ..Self::default()
        }
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
        let routes = self.routes.iter().zip(ROUTES);
        let values = routes.map(|(figures, route)| {
            route.value * (count(figures.in_time) + count(figures.late) / 6.0)
        });
        values.sum()
    }
}

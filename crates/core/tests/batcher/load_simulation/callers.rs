use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::CallId;
use amaranthscale_core::process::{
    AllowedZones, Batcher, Cell, DEFAULT_ENGINE_TIME, JobId, JobRefusal, JobSpec, Rank, StageSpec,
};

use super::Scenario;
use super::figures::Figures;

/// Organisations; the first few are large.
const ORGANISATION_WEIGHTS: [f64; 16] = [
    8.0, 6.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0,
];
/// Retry delay of callers that were not told one.
const DEFAULT_RETRY: Duration = Duration::from_millis(300);

/// Pseudo-random numbers, by the algorithm of `SplitMix64`.
#[derive(Debug)]
struct Random(u64);

impl Random {
    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Uniform in (0, 1].
    fn unit(&mut self) -> f64 {
        let bits = u32::try_from(self.next() >> 32).unwrap();
        (f64::from(bits) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// One caller's request.
#[derive(Debug, Clone)]
struct Request {
    route: usize,
    organisation: usize,
    spec: JobSpec,
    arrived_at: Duration,
    attempt_at: Duration,
    attempts: usize,
    spent: Duration,
}

/// Callers: each comes back once after a refusal.
#[derive(Debug)]
pub struct Callers {
    scenario: Scenario,
    random: Random,
    /// Next arrival of each route.
    next: Vec<Duration>,
    end: Duration,
    due: BTreeMap<(Duration, u64), Request>,
    open: BTreeMap<JobId, u64>,
    requests: BTreeMap<u64, Request>,
    numbers: BTreeMap<CallId, u64>,
    count: u64,
}

impl Callers {
    pub fn new(scenario: Scenario, start: Duration) -> Self {
        Self {
            scenario,
            random: Random(scenario.seed),
            next: vec![start; scenario.deployment.routes.len()],
            end: start + scenario.arrivals,
            due: BTreeMap::new(),
            open: BTreeMap::new(),
            requests: BTreeMap::new(),
            numbers: BTreeMap::new(),
            count: 0,
        }
    }

    fn weight(&self, organisation: usize) -> f64 {
        let weight = ORGANISATION_WEIGHTS[organisation];
        if organisation == 0 {
            weight * self.scenario.first_organisation
        } else {
            weight
        }
    }

    fn total_weight(&self) -> f64 {
        (0..ORGANISATION_WEIGHTS.len())
            .map(|index| self.weight(index))
            .sum()
    }

    fn organisation(&mut self) -> usize {
        let mut at = self.random.unit() * self.total_weight();
        for index in 0..ORGANISATION_WEIGHTS.len() {
            at -= self.weight(index);
            if at <= 0.0 {
                return index;
            }
        }
        0
    }

    /// Draws the requests that arrive up to now.
    fn arrive(&mut self, figures: &mut Figures, now: Duration) {
        let usual: f64 = ORGANISATION_WEIGHTS.iter().sum();
        let growth = self.total_weight() / usual;
        let routes = self.scenario.deployment.routes;
        for (index, route) in routes.iter().enumerate() {
            while self.next[index] <= now && self.next[index] < self.end {
                let at = self.next[index];
                let rate = route.per_second * self.scenario.load_at(at) * growth;
                self.next[index] += Duration::from_secs_f64(-self.random.unit().ln() / rate);
                // A gateway reaches the owner with its next turn of the event loop.
                let delay = self.random.next() % (self.scenario.gateways / 5).max(1);
                let due_at = at + Duration::from_millis(delay);
                self.count += 1;
                let request = self.request(index, at);
                let figures = &mut figures.routes[index];
                figures.requests += 1;
                figures.requests_by_organisation[request.organisation] += 1;
                self.due.insert((due_at, self.count), request);
            }
        }
    }

    fn request(&mut self, index: usize, arrived_at: Duration) -> Request {
        let deployment = self.scenario.deployment;
        let route = &deployment.routes[index];
        let organisation = self.organisation();
        let extra = usize::try_from(self.random.next() % 2).unwrap();
        let stages = route.stages.iter().enumerate();
        let stages = stages.map(|(stage, (service, pieces))| StageSpec {
            service: deployment.services[*service].name.parse().unwrap(),
            depends_on: stage.checked_sub(1).into_iter().collect(),
            pieces: if *pieces == 2 { 2 + extra } else { *pieces },
            result_bytes: deployment.services[*service].result_bytes,
        });
        let spec = JobSpec {
            call: format!("call-{}", self.count).parse().unwrap(),
            route: route.name.parse().unwrap(),
            cell: Cell::SINGLE,
            piece_key: "key".to_owned(),
            stages: stages.collect(),
            rank: Rank {
                organisation: 0,
                route: route.rank,
            },
            organisation: Some(format!("organisation-{organisation}").parse().unwrap()),
            was_admitted: false,
            value_tokens: 1_000 + self.random.next() % 2_000,
            target_latency: Duration::from_millis(route.target_ms),
            target_latency_left: Duration::from_millis(route.target_ms),
            deadline_left: Duration::from_millis(route.deadline_ms),
            engine_time: DEFAULT_ENGINE_TIME,
            reader_zone: format!("zone-{}", self.random.next() % 3).parse().unwrap(),
            allowed_zones: AllowedZones::default(),
            retained: Vec::new(),
        };
        Request {
            route: index,
            organisation,
            spec,
            arrived_at,
            attempt_at: arrived_at,
            attempts: 0,
            spent: Duration::ZERO,
        }
    }

    /// Submits the requests that arrived and those that come back.
    pub fn submit_due(&mut self, batcher: &mut Batcher, figures: &mut Figures, now: Duration) {
        self.arrive(figures, now);
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, number), mut request) = entry.remove_entry();
            request.attempts += 1;
            request.attempt_at = now;
            let elapsed = now.saturating_sub(request.arrived_at);
            let route = &self.scenario.deployment.routes[request.route];
            let mut spec = request.spec.clone();
            spec.target_latency_left =
                Duration::from_millis(route.target_ms).saturating_sub(elapsed);
            spec.deadline_left = Duration::from_millis(route.deadline_ms).saturating_sub(elapsed);
            self.numbers.insert(spec.call.clone(), number);
            match batcher.submit(spec, now) {
                Ok(job) => {
                    figures.routes[request.route].admitted += 1;
                    self.open.insert(job, number);
                    self.requests.insert(number, request);
                }
                Err(refusal) => {
                    let figures = &mut figures.routes[request.route];
                    figures.add_refusal(Duration::ZERO);
                    self.come_back(number, request, refusal.retry_after, now);
                }
            }
        }
    }

    fn come_back(&mut self, number: u64, request: Request, after: Duration, now: Duration) {
        let deadline =
            Duration::from_millis(self.scenario.deployment.routes[request.route].deadline_ms);
        let left = (request.arrived_at + deadline).saturating_sub(now);
        if request.attempts < 2 && left > Duration::ZERO {
            self.due
                .insert((now + after.min(left / 3), number), request);
        }
    }

    /// Adds server time to a request.
    pub fn spent(&mut self, call: &CallId, time: Duration) {
        let number = self.numbers.get(call);
        if let Some(request) = number.and_then(|number| self.requests.get_mut(number)) {
            request.spent += time;
        }
    }

    pub fn done(&mut self, job: JobId, figures: &mut Figures, now: Duration) {
        let Some(request) = self.take(job) else {
            return;
        };
        let route = &self.scenario.deployment.routes[request.1.route];
        let request = request.1;
        let figures = &mut figures.routes[request.route];
        let target_at = request.arrived_at + Duration::from_millis(route.target_ms);
        if now + DEFAULT_ENGINE_TIME <= target_at {
            figures.in_time += 1;
            figures.in_time_by_organisation[request.organisation] += 1;
        } else {
            figures.late += 1;
        }
    }

    pub fn failed(&mut self, job: JobId, figures: &mut Figures, now: Duration) {
        if let Some((number, mut request)) = self.take(job) {
            let figures = &mut figures.routes[request.route];
            figures.failed += 1;
            figures.add_refusal(now.saturating_sub(request.attempt_at));
            figures.wasted += std::mem::take(&mut request.spent);
            self.come_back(number, request, DEFAULT_RETRY, now);
        }
    }

    pub fn displaced(
        &mut self,
        job: JobId,
        refusal: JobRefusal,
        figures: &mut Figures,
        now: Duration,
    ) {
        if let Some((number, mut request)) = self.take(job) {
            let figures = &mut figures.routes[request.route];
            figures.displaced += 1;
            figures.add_refusal(now.saturating_sub(request.attempt_at));
            figures.wasted += std::mem::take(&mut request.spent);
            self.come_back(number, request, refusal.retry_after, now);
        }
    }

    fn take(&mut self, job: JobId) -> Option<(u64, Request)> {
        let number = self.open.remove(&job)?;
        Some((number, self.requests.remove(&number)?))
    }
}

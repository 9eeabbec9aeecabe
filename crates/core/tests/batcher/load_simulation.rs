//! Drives the batcher in virtual time against stage servers and callers.
//!
//! Addresses loads from well below to twice the capacity of the servers: what is served in time,
//! what is refused and how soon, and how much server time goes into jobs that do not end. Also used
//! by the example `admission_load`.

// The example includes this file by its path, so its modules are named by path as well.
#[path = "load_simulation/callers.rs"]
mod callers;
#[path = "load_simulation/deployment.rs"]
mod deployment;
#[path = "load_simulation/figures.rs"]
mod figures;
#[path = "load_simulation/servers.rs"]
mod servers;

pub use deployment::{Deployment, FOUR_SERVICES, THREE_SERVICES};
pub use figures::Figures;

use callers::Callers;
use servers::StageServers;

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthscale_core::process::{Batcher, JobEvent, JobId};

/// Interval of the owner's ticks.
const STEP: Duration = Duration::from_millis(2);
/// How long an engine reads the results of a job after the stages are done.
const READ_TIME: Duration = Duration::from_millis(300);
/// Start of the virtual time.
const START: Duration = Duration::from_secs(10);
/// Time after the last arrival in which open jobs may end.
const DRAIN: Duration = Duration::from_secs(14);

/// A higher load that returns.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// Load during it, as a fraction of the servers' capacity.
    pub load: f64,
    /// How long it lasts.
    pub length: Duration,
    /// Time from one to the next.
    pub period: Duration,
}

/// A simulated run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Services and routes.
    pub deployment: &'static Deployment,
    /// Load as a fraction of the servers' capacity.
    pub load: f64,
    /// Bursts beyond the load, if there are any.
    pub burst: Option<Burst>,
    /// Seed of arrivals.
    pub seed: u64,
    /// Whether admission is by forecast.
    pub has_forecast: bool,
    /// Time in which requests arrive.
    pub arrivals: Duration,
    /// Multiple of the usual requests of the first organisation.
    pub first_organisation: f64,
    /// Number of gateways that submit jobs; each submits in batches every some milliseconds.
    pub gateways: u64,
    /// Servers of every service that are lost, as a fraction, from half of the arrivals on for two
    /// seconds.
    pub lost_servers: f64,
}

impl Scenario {
    /// A run at a load, with one seed.
    pub const fn at(load: f64, has_forecast: bool) -> Self {
        Self {
            deployment: &FOUR_SERVICES,
            load,
            burst: None,
            seed: 7,
            has_forecast,
            arrivals: Duration::from_secs(20),
            first_organisation: 1.0,
            gateways: 5,
            lost_servers: 0.0,
        }
    }

    /// A run at a load with bursts of three seconds in every ten.
    pub const fn with_bursts(load: f64, burst_load: f64, has_forecast: bool) -> Self {
        let burst = Burst {
            load: burst_load,
            length: Duration::from_secs(3),
            period: Duration::from_secs(10),
        };
        Self {
            burst: Some(burst),
            arrivals: Duration::from_secs(30),
            ..Self::at(load, has_forecast)
        }
    }

    /// Load at a time; bursts come at the end of their period.
    fn load_at(&self, at: Duration) -> f64 {
        let is_in = |burst: &Burst| {
            let since_start = at.saturating_sub(START).as_secs_f64();
            let into_period = since_start % burst.period.as_secs_f64();
            into_period >= burst.period.saturating_sub(burst.length).as_secs_f64()
        };
        let burst = self.burst.filter(is_in);
        burst.map_or(self.load, |burst| burst.load)
    }

    /// Runs it.
    pub fn run(self) -> Figures {
        let mut batcher = Batcher::new().with_forecast(self.has_forecast);
        let mut servers = StageServers::new(self.deployment);
        let mut callers = Callers::new(self, START);
        let mut figures = Figures::new(self.deployment);
        let mut releases: BTreeSet<(Duration, JobId)> = BTreeSet::new();
        let mut now = START;
        let lost_from = START + self.arrivals / 2;
        let lost_until = lost_from + Duration::from_secs(2);
        let mut lost = 0.0;
        servers.list(&mut batcher, lost, now);
        while now < START + self.arrivals + DRAIN {
            now += STEP;
            let lost_now = if now >= lost_from && now < lost_until {
                self.lost_servers
            } else {
                0.0
            };
            if (lost_now - lost).abs() > f64::EPSILON {
                lost = lost_now;
                servers.list(&mut batcher, lost, now);
            }
            servers.end_calls(&mut batcher, &mut callers, now);
            while let Some((due_at, job)) = releases.first().copied()
                && due_at <= now
            {
                releases.pop_first();
                batcher.release(job);
            }
            callers.submit_due(&mut batcher, &mut figures, now);
            for batch in batcher.next_batches(now) {
                servers.start(batch, now);
            }
            for event in batcher.take_events() {
                match event {
                    JobEvent::Done(job, ..) => {
                        callers.done(job, &mut figures, now);
                        releases.insert((now + READ_TIME, job));
                    }
                    JobEvent::Failed(job, _) => {
                        callers.failed(job, &mut figures, now);
                        batcher.release(job);
                    }
                    JobEvent::Displaced(job, refusal) => {
                        callers.displaced(job, refusal, &mut figures, now);
                        batcher.release(job);
                    }
                    JobEvent::ResultsStored(..)
                    | JobEvent::ResultsDropped(..)
                    | JobEvent::ConnectionLost(..) => {}
                }
            }
            for request in batcher.take_free_requests(|_| true) {
                servers.free(&request);
                batcher.results_freed(&request);
            }
        }
        figures.storage_full = servers.storage_full;
        figures.busy = servers.busy;
        figures
    }
}

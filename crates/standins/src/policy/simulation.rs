//! Simulation of one run of a scenario.
//!
//! The simulation schedules events on a virtual clock, calls the core's decision code, and checks
//! invariants as the events happen.

mod caller;
mod entry_side;
mod faults;
mod invariants;
mod sidecar_side;

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::{AttemptId, ServiceId};
use amaranthscale_core::wire::{HostList, HostRecord, HostState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::attempt::Attempt;
use super::entry::Entry;
use super::event::Event;
use super::event_queue::EventQueue;
use super::fake_server::{Condition, FakeServer};
use super::request::Request;
use super::schedule::schedule;
use super::tally::Tally;
use super::{Deployment, Figures, Mechanisms, Scenario};

/// Delay of one message between two processes: the specified delay between availability zones.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// When arrivals end; requests in flight then run to their end.
const END: Duration = Duration::from_mins(1);
/// Interval at which sidecars remove expired work.
const SWEEP: Duration = Duration::from_millis(50);
/// Multiplier of the seed, so that nearby seeds draw unrelated numbers.
const SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// A simulation run: simulated servers, decision state and the virtual clock.
///
/// # Examples
///
/// ```no_run
/// use amaranthscale_standins::policy::{Deployment, Mechanisms, Scenario, Simulation};
///
/// let deployment = Deployment::delta_basin();
/// let simulation =
///     Simulation::new(deployment, Scenario::TrialSurge, Mechanisms::design(), 7);
/// let figures = simulation.run();
/// assert!(figures.paid_attainment > 0.9);
/// ```
#[derive(Debug)]
pub struct Simulation {
    deployment: Deployment,
    scenario: Scenario,
    mechanisms: Mechanisms,
    random: SmallRng,
    event_queue: EventQueue,
    entries: Vec<Entry>,
    servers: Vec<FakeServer>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    by_id: BTreeMap<AttemptId, usize>,
    host_list: HostList,
    demand_factors: Vec<f64>,
    long_share: f64,
    is_table_unavailable: bool,
    retries: u64,
}

impl Simulation {
    /// Prepares a run.
    #[must_use]
    pub fn new(
        deployment: Deployment,
        scenario: Scenario,
        mechanisms: Mechanisms,
        seed: u64,
    ) -> Self {
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE)),
            event_queue: EventQueue::default(),
            entries: Vec::new(),
            servers: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            by_id: BTreeMap::new(),
            host_list: HostList::default(),
            demand_factors: vec![1.0; deployment.organisations.len()],
            long_share: 0.0,
            is_table_unavailable: false,
            retries: 0,
            deployment,
            scenario,
            mechanisms,
        };
        simulation.add_servers();
        simulation.add_entries();
        simulation.publish_hosts();
        simulation.schedule_events(seed);
        simulation
    }

    /// Runs to the end and computes the figures.
    ///
    /// # Panics
    ///
    /// When an invariant is violated, which is a bug in the decision code.
    #[must_use]
    pub fn run(mut self) -> Figures {
        while let Some(event) = self.event_queue.next() {
            self.handle(event);
        }
        self.check_all_answered();
        let tally = Tally::new(&self.deployment, self.scenario);
        tally.count(&self.requests, &self.attempts, self.retries)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival {
                organisation,
                pipeline,
            } => self.arrive(organisation, pipeline),
            Event::Try { request } => self.send_try(request),
            Event::Repeat { request } => self.arrive_repeat(request),
            Event::Deadline {
                request,
                try_number,
            } => self.deadline(request, try_number),
            Event::Dispatched { attempt } => self.dispatched(attempt),
            Event::Revoked { attempt } => self.revoked(attempt),
            Event::Served {
                attempt,
                incarnation,
            } => self.served(attempt, incarnation),
            Event::Reply {
                attempt,
                end,
                stamp,
            } => self.reply(attempt, end, &stamp),
            Event::Reset { attempt } => self.reset(attempt),
            Event::Hedge { attempt } => self.hedge(attempt),
            Event::KeepAlive { attempt } => self.keep_alive(attempt),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Sweep => self.sweep(),
        }
    }

    fn add_servers(&mut self) {
        let services = self.deployment.services.clone();
        for (service, spec) in services.iter().enumerate() {
            for number in 0..spec.servers {
                let host = format!("{}-{number}", spec.name);
                let record = self.record(host, service, self.servers.len());
                let server = FakeServer::new(record, service, spec, &self.mechanisms);
                self.servers.push(server);
            }
        }
    }

    fn record(&self, host: String, service: usize, position: usize) -> HostRecord {
        let zones = &self.deployment.zones;
        HostRecord {
            host: name(host),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            region: name(self.deployment.region),
            zone: name(zones[position % zones.len()]),
            service: Some(self.service_id(service)),
            state: HostState::Live,
        }
    }

    fn add_entries(&mut self) {
        for number in 0..self.deployment.entries {
            let zones = &self.deployment.zones;
            let zone = name(zones[number % zones.len()]);
            let services = 0..self.deployment.services.len();
            let services: Vec<_> = services.map(|service| self.service_id(service)).collect();
            let seed = self.random.random();
            self.entries
                .push(Entry::new(zone, services, &self.mechanisms, seed));
        }
    }

    fn schedule_events(&mut self, seed: u64) {
        for organisation in 0..self.deployment.organisations.len() {
            for pipeline in 0..self.deployment.pipelines.len() {
                self.schedule_arrival(organisation, pipeline);
            }
        }
        for (time, fault) in schedule(self.scenario, &self.deployment, seed) {
            self.event_queue.at(time, Event::Fault(fault));
        }
        self.event_queue.after(SWEEP, Event::Sweep);
    }

    fn publish_hosts(&mut self) {
        let alive = |server: &&FakeServer| server.condition != Condition::Gone;
        let hosts = self
            .servers
            .iter()
            .filter(alive)
            .map(|server| server.record.clone());
        self.host_list = HostList {
            version: self.host_list.version + 1,
            hosts: hosts.collect(),
        };
        for entry in 0..self.entries.len() {
            self.apply_hosts(entry);
        }
    }

    /// An entry applies the host list and observes the stamps of the running hosts on it.
    fn apply_hosts(&mut self, entry: usize) {
        let now = self.event_queue.now();
        let router = &mut self.entries[entry].router;
        router.set_hosts(&self.host_list, now);
        for server in self
            .servers
            .iter()
            .filter(|server| server.condition == Condition::Up)
        {
            router.observe(server.host(), &server.stamp(now), now);
        }
    }

    fn service_id(&self, service: usize) -> ServiceId {
        name(self.deployment.services[service].name)
    }
}

/// Parses one of the simulation's own names.
fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref()
        .parse()
        .expect("the bench's own names are valid")
}

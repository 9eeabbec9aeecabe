//! Application of faults to the simulation.

use super::super::event::Event;
use super::super::fake_server::{Condition, FakeServer};
use super::super::fault::Fault;
use super::{MESSAGE_DELAY, Simulation};

impl Simulation {
    /// Applies a fault.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Speed { server, factor } => self.servers[server].speed_factor = factor,
            Fault::Die { server } => self.die(server),
            Fault::Vanish { server } => self.vanish(server),
            Fault::Freeze { server } => self.servers[server].condition = Condition::Frozen,
            Fault::Thaw { server } => self.thaw(server),
            Fault::Replace { server } => self.replace(server),
            Fault::PublishHosts => self.publish_hosts(),
            Fault::Store { is_unavailable } => self.is_table_unavailable = is_unavailable,
            Fault::Demand {
                organisation,
                factor,
            } => self.demand_factors[organisation] = factor,
            Fault::LongFiles { share } => self.long_share = share,
        }
    }

    /// A process ends: the connections of all attempts that wait for it are reset.
    fn die(&mut self, server: usize) {
        self.lose(server, Condition::Dead);
        let waiting = self.attempts.iter().enumerate();
        let waiting = waiting.filter(|(_, attempt)| attempt.server == server && !attempt.is_ended);
        let waiting: Vec<_> = waiting.map(|(number, _)| number).collect();
        for attempt in waiting {
            self.event_queue
                .after(MESSAGE_DELAY, Event::Reset { attempt });
        }
    }

    fn vanish(&mut self, server: usize) {
        self.lose(server, Condition::Gone);
    }

    fn lose(&mut self, server: usize, condition: Condition) {
        let now = self.event_queue.now();
        let fake = &mut self.servers[server];
        fake.condition = condition;
        fake.drop_all_work(&self.deployment.services[fake.service], &self.mechanisms);
        let running = self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.server == server);
        for attempt in running.filter(|attempt| attempt.is_running()) {
            attempt.stopped_at = Some(now);
        }
    }

    /// A frozen process resumes, with the events that reached it in the meantime.
    fn thaw(&mut self, server: usize) {
        let now = self.event_queue.now();
        let fake = &mut self.servers[server];
        fake.condition = Condition::Up;
        let incarnation = fake.incarnation;
        for attempt in std::mem::take(&mut fake.held_completions) {
            self.event_queue.at(
                now,
                Event::Served {
                    attempt,
                    incarnation,
                },
            );
        }
        for attempt in std::mem::take(&mut fake.held_arrivals) {
            self.event_queue.at(now, Event::Dispatched { attempt });
        }
        self.start_queued(server);
    }

    fn replace(&mut self, server: usize) {
        let service = self.servers[server].service;
        let host = format!("{}-new", self.servers[server].host());
        let record = self.record(host, service, server);
        let spec = &self.deployment.services[service];
        self.servers
            .push(FakeServer::new(record, service, spec, &self.mechanisms));
    }
}

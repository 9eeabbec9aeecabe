//! Faults as they strike the fakes.

use super::super::event::Event;
use super::super::fake_server::{Condition, FakeServer};
use super::super::fault::Fault;
use super::{Bench, HOP};

impl Bench {
    /// Makes a fault happen.
    pub(super) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Speed { server, factor } => self.servers[server].speed_factor = factor,
            Fault::Die { server } => self.die(server),
            Fault::Vanish { server } => self.vanish(server),
            Fault::Freeze { server } => self.servers[server].condition = Condition::Frozen,
            Fault::Thaw { server } => self.thaw(server),
            Fault::Replace { server } => self.replace(server),
            Fault::ShowHosts => self.show_hosts(),
            Fault::Store { is_away } => self.is_store_away = is_away,
            Fault::Demand {
                organisation,
                factor,
            } => self.demand_factors[organisation] = factor,
            Fault::LongFiles { share } => self.long_share = share,
        }
    }

    /// A process ends: whoever waits for it sees its connection reset.
    fn die(&mut self, server: usize) {
        self.lose(server, Condition::Dead);
        let waiting = self.attempts.iter().enumerate();
        let waiting = waiting.filter(|(_, attempt)| attempt.server == server && !attempt.is_ended);
        let waiting: Vec<_> = waiting.map(|(number, _)| number).collect();
        for attempt in waiting {
            self.agenda.after(HOP, Event::Reset { attempt });
        }
    }

    fn vanish(&mut self, server: usize) {
        self.lose(server, Condition::Gone);
    }

    fn lose(&mut self, server: usize, condition: Condition) {
        let now = self.agenda.now();
        let fake = &mut self.servers[server];
        fake.condition = condition;
        fake.lose_everything(&self.deployment.services[fake.service], &self.mechanisms);
        let running = self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.server == server);
        for attempt in running.filter(|attempt| attempt.is_running()) {
            attempt.stopped_at = Some(now);
        }
    }

    /// A stopped process goes on with what reached it meanwhile.
    fn thaw(&mut self, server: usize) {
        let now = self.agenda.now();
        let fake = &mut self.servers[server];
        fake.condition = Condition::Up;
        let life = fake.life;
        for attempt in std::mem::take(&mut fake.held_ends) {
            self.agenda.at(now, Event::Served { attempt, life });
        }
        for attempt in std::mem::take(&mut fake.held) {
            self.agenda.at(now, Event::Dispatched { attempt });
        }
        self.pump(server);
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

//! Simulation of sidecars and backend servers, with the core's decision code.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::process::{AttemptEnd, QueuedAttempt};
use amaranthscale_core::unit::{Class, Weight};
use rand::RngExt;

use super::super::Mechanism;
use super::super::event::Event;
use super::super::fake_server::{Condition, clock};
use super::super::schedule::long_file_factor;
use super::{MESSAGE_DELAY, SWEEP, Simulation, name};

/// Expiry of work that never expires: after the end of every run.
const NO_EXPIRY: Duration = Duration::from_hours(1);

impl Simulation {
    /// An attempt has arrived at its sidecar.
    pub(super) fn dispatched(&mut self, attempt: usize) {
        let now = self.event_queue.now();
        let server = self.attempts[attempt].server;
        match self.servers[server].condition {
            Condition::Up => self.enqueue(attempt, server, now),
            Condition::Dead => self
                .event_queue
                .after(MESSAGE_DELAY, Event::Reset { attempt }),
            Condition::Frozen => self.servers[server].held_arrivals.push(attempt),
            Condition::Gone => {}
        }
    }

    /// A revocation has arrived: the entry no longer waits for an attempt.
    pub(super) fn revoked(&mut self, attempt: usize) {
        let now = self.event_queue.now();
        let revoked = &self.attempts[attempt];
        let (id, server, is_running) = (revoked.id, revoked.server, revoked.is_running());
        let started_at = revoked.started_at.unwrap_or(now);
        let service = self.servers[server].service;
        let fake = &mut self.servers[server];
        if fake.condition == Condition::Frozen {
            fake.held_arrivals.retain(|held| *held != attempt);
        }
        if fake.condition != Condition::Up || fake.queue.remove(&id) || !is_running {
            return;
        }
        if self.deployment.services[service].is_engine {
            fake.queue.release(id);
            fake.meter
                .record_cancelled(millis(now.saturating_sub(started_at)), clock(now));
            self.attempts[attempt].stopped_at = Some(now);
            self.start_queued(server);
        }
    }

    /// The backend server has completed an attempt.
    pub(super) fn served(&mut self, attempt: usize, incarnation: u32) {
        let now = self.event_queue.now();
        let server = self.attempts[attempt].server;
        let fake = &mut self.servers[server];
        if fake.incarnation != incarnation || !self.attempts[attempt].is_running() {
            return;
        }
        if fake.condition == Condition::Frozen {
            fake.held_completions.push(attempt);
            return;
        }
        let started_at = self.attempts[attempt].started_at.unwrap_or(now);
        fake.meter
            .record_service(millis(now.saturating_sub(started_at)), clock(now));
        fake.queue.release(self.attempts[attempt].id);
        self.attempts[attempt].stopped_at = Some(now);
        self.send(attempt, AttemptEnd::Complete);
        self.start_queued(server);
    }

    /// Sidecars remove expired work, also while no attempt ends.
    pub(super) fn sweep(&mut self) {
        for server in 0..self.servers.len() {
            if self.servers[server].condition == Condition::Up {
                self.start_queued(server);
            }
        }
        let is_open = self
            .requests
            .iter()
            .rev()
            .take(10_000)
            .any(|asked| asked.answer.is_none());
        if is_open || self.event_queue.now() < super::END {
            self.event_queue.after(SWEEP, Event::Sweep);
        }
    }

    /// Starts queued attempts while slots are free, and refuses expired ones.
    pub(super) fn start_queued(&mut self, server: usize) {
        let now = self.event_queue.now();
        let fake = &mut self.servers[server];
        let expired = fake.queue.expired(clock(now));
        for item in expired {
            let code = ResultCode::ExpiredInQueue;
            self.send(self.by_id[&item.attempt], AttemptEnd::Refused(code));
        }
        while let Some(item) = self.servers[server].queue.pop(clock(now)) {
            self.check_slots(server);
            self.start(self.by_id[&item.attempt], server);
        }
    }

    fn enqueue(&mut self, attempt: usize, server: usize, now: Duration) {
        let request = &self.requests[self.attempts[attempt].request];
        let is_repeatable = self.deployment.pipelines[request.pipeline].is_repeatable;
        if self.is_table_unavailable && !is_repeatable {
            self.send(attempt, AttemptEnd::Refused(ResultCode::TableAway));
            return;
        }
        if self.mechanisms.has(Mechanism::Expiry) && now > self.attempts[attempt].expiry {
            self.send(attempt, AttemptEnd::Refused(ResultCode::AttemptExpired));
            return;
        }
        self.attempts[attempt].queued_at = now;
        let item = self.item(attempt, server);
        let pushed = self.servers[server].queue.push(item, clock(now));
        if let Err(refusal) = pushed {
            self.send(attempt, AttemptEnd::Refused(refusal.code));
        }
        for displaced in self.servers[server].queue.take_displaced() {
            let code = ResultCode::TrialShed;
            self.send(self.by_id[&displaced.attempt], AttemptEnd::Refused(code));
        }
        self.start_queued(server);
    }

    /// The queue's entry for an attempt; without classes or expiry, attempts don't differ in them.
    fn item(&self, attempt: usize, server: usize) -> QueuedAttempt {
        let queued = &self.attempts[attempt];
        let request = &self.requests[queued.request];
        let spec = &self.deployment.organisations[request.organisation];
        let has_classes = self.mechanisms.has(Mechanism::Classes);
        let has_expiry = self.mechanisms.has(Mechanism::Expiry);
        let organisation: OrganisationId = name(if has_classes { spec.name } else { "all" });
        QueuedAttempt {
            attempt: queued.id,
            organisation,
            class: if has_classes { spec.class } else { Class::Paid },
            weight: if has_classes {
                spec.weight
            } else {
                Weight::DEFAULT
            },
            expiry: clock(if has_expiry { queued.expiry } else { NO_EXPIRY }),
            expected_ms: self.servers[server]
                .meter
                .expected_ms(clock(self.event_queue.now())),
        }
    }

    fn start(&mut self, attempt: usize, server: usize) {
        let now = self.event_queue.now();
        let work = self.draw_work(attempt, server);
        let started = &mut self.attempts[attempt];
        assert!(started.started_at.is_none(), "an attempt starts once");
        started.started_at = Some(now);
        let request = &self.requests[started.request];
        let class = self.deployment.organisations[request.organisation].class;
        let fake = &mut self.servers[server];
        fake.meter
            .record_wait(class, millis(now.saturating_sub(started.queued_at)));
        let incarnation = fake.incarnation;
        self.event_queue.after(
            work,
            Event::Served {
                attempt,
                incarnation,
            },
        );
    }

    fn draw_work(&mut self, attempt: usize, server: usize) -> Duration {
        let request = &self.requests[self.attempts[attempt].request];
        let fake = &self.servers[server];
        let spec = &self.deployment.services[fake.service];
        let size = if request.is_long {
            long_file_factor(fake.service)
        } else {
            1.0
        };
        let spread = (normal(&mut self.random) * spec.sigma).exp();
        let work_ms = spec.median_ms * spread * size * fake.speed_factor;
        Duration::from_secs_f64(work_ms / 1_000.0)
    }

    fn send(&mut self, attempt: usize, end: AttemptEnd) {
        let now = self.event_queue.now();
        let stamp = Box::new(self.servers[self.attempts[attempt].server].stamp(now));
        self.event_queue.after(
            MESSAGE_DELAY,
            Event::Reply {
                attempt,
                end,
                stamp,
            },
        );
    }
}

/// A standard normal draw, by Box and Muller.
fn normal(random: &mut impl RngExt) -> f64 {
    let radius_draw: f64 = random.random_range(f64::EPSILON..1.0);
    let angle_draw: f64 = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius_draw.ln()).sqrt() * angle_draw.cos()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

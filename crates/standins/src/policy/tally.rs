//! Computes the figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::unit::Class;
use amaranthscale_core::{Ran, ResultCode};

use super::attempt::Attempt;
use super::deployment::{ANSWER, SETTLE};
use super::request::Request;
use super::{Deployment, Figures, Scenario};

/// Seconds of arrivals at the start that are not counted, while measured times stabilise.
const WARM_UP_S: u64 = 5;
/// Second at which counting of arrivals ends.
const LAST_S: u64 = 60;
/// Second at which the retry storm's cause ends.
const STORM_END_S: u64 = 25;
/// Paid attainment at which the system counts as recovered.
const GOAL: f64 = 0.99;
/// Index of the flooding organisation.
const FLOODING: usize = 0;

/// A part and its whole.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    part: f64,
    whole: f64,
}

impl Share {
    fn add(&mut self, is_part: bool) {
        self.whole += 1.0;
        if is_part {
            self.part += 1.0;
        }
    }

    /// The share; 1 without any requests.
    fn get(self) -> f64 {
        if self.whole > 0.0 {
            self.part / self.whole
        } else {
            1.0
        }
    }
}

/// Computes the figures of one run.
#[derive(Debug)]
pub(super) struct Tally<'a> {
    deployment: &'a Deployment,
    scenario: Scenario,
}

impl<'a> Tally<'a> {
    pub(super) const fn new(deployment: &'a Deployment, scenario: Scenario) -> Self {
        Self {
            deployment,
            scenario,
        }
    }

    /// Counts requests that arrived after the warm-up.
    pub(super) fn count(
        &self,
        requests: &[Request],
        attempts: &[Attempt],
        retries: u64,
    ) -> Figures {
        let counted: Vec<_> = requests
            .iter()
            .filter(|request| is_counted(request))
            .collect();
        let paid_by_second = self.paid_by_second(&counted);
        let asked = f64::from(u32::try_from(requests.len()).unwrap_or(u32::MAX));
        let retries = f64::from(u32::try_from(retries).unwrap_or(u32::MAX));
        Figures {
            paid_attainment: attainment(&counted, |request| self.is_paid(request)),
            trial_attainment: attainment(&counted, |request| self.is_trial(request)),
            wasted_share: wasted_share(requests, attempts),
            settle_attainment: attainment(&counted, |request| self.is_settle(request)),
            settle_refused_share: self.settle_share(&counted, |code| code.ran() == Ran::No),
            settle_unknown_share: self.settle_share(&counted, |code| code.ran() == Ran::Unknown),
            flood_attainment: attainment(&counted, |request| self.is_flooding(request)),
            retries_per_request: retries / asked.max(1.0),
            worst_second: paid_by_second.iter().copied().fold(1.0, f64::min),
            recovery_s: self.recovery_s(&paid_by_second),
            paid_answers: self.paid_answers(&counted),
            paid_by_second,
        }
    }

    fn is_paid(&self, request: &Request) -> bool {
        self.class(request) == Class::Paid
            && request.pipeline == ANSWER
            && !self.is_flooding(request)
    }

    fn is_trial(&self, request: &Request) -> bool {
        self.class(request) == Class::Trial
    }

    fn is_settle(&self, request: &Request) -> bool {
        request.pipeline == SETTLE && !self.is_flooding(request)
    }

    fn settle_share(&self, counted: &[&Request], is_wanted: impl Fn(ResultCode) -> bool) -> f64 {
        let mut share = Share {
            part: 0.0,
            whole: f64::MIN_POSITIVE,
        };
        for request in counted.iter().filter(|request| self.is_settle(request)) {
            share.add(request.answer.is_some_and(|(code, _)| is_wanted(code)));
        }
        share.get()
    }

    fn is_flooding(&self, request: &Request) -> bool {
        self.scenario == Scenario::OrganisationFlood && request.organisation == FLOODING
    }

    fn class(&self, request: &Request) -> Class {
        self.deployment.organisations[request.organisation].class
    }

    fn paid_answers(&self, counted: &[&Request]) -> BTreeMap<u16, u64> {
        let mut answers = BTreeMap::new();
        for request in counted.iter().filter(|request| self.is_paid(request)) {
            let code = request.answer.map_or(0, |(code, _)| code.number());
            *answers.entry(code).or_default() += 1;
        }
        answers
    }

    fn paid_by_second(&self, counted: &[&Request]) -> Vec<f64> {
        let in_second = |second: u64| {
            attainment(counted, |request| {
                self.is_paid(request) && request.first_sent_at.as_secs() == second
            })
        };
        (WARM_UP_S..LAST_S).map(in_second).collect()
    }

    fn recovery_s(&self, paid_by_second: &[f64]) -> f64 {
        if self.scenario != Scenario::RetryStorm {
            return 0.0;
        }
        let seconds = (WARM_UP_S..).zip(paid_by_second);
        let below = seconds
            .filter(|(_, attainment)| **attainment < GOAL)
            .map(|(second, _)| second);
        let last_below = below.last().unwrap_or(STORM_END_S);
        Duration::from_secs((last_below + 1).saturating_sub(STORM_END_S)).as_secs_f64()
    }
}

fn is_counted(request: &Request) -> bool {
    (WARM_UP_S..LAST_S).contains(&request.first_sent_at.as_secs())
}

fn attainment(counted: &[&Request], is_wanted: impl Fn(&Request) -> bool) -> f64 {
    let mut share = Share::default();
    for request in counted.iter().filter(|request| is_wanted(request)) {
        share.add(request.is_attained());
    }
    share.get()
}

fn wasted_share(requests: &[Request], attempts: &[Attempt]) -> f64 {
    let mut share = Share::default();
    for attempt in attempts {
        let Some(started_at) = attempt.started_at else {
            continue;
        };
        let stopped_at = attempt.stopped_at.unwrap_or(started_at);
        let server_s = stopped_at.saturating_sub(started_at).as_secs_f64();
        let request = &requests[attempt.request];
        let is_last_try = attempt.try_number == request.try_number;
        share.whole += server_s;
        if !(attempt.is_used && is_last_try && request.is_attained()) {
            share.part += server_s;
        }
    }
    share.get()
}

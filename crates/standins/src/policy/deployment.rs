//! The two simulated deployments, at their specified sizes.
//!
//! Names and numbers of servers are specified. The service of each stage, slots, times and rates
//! are assumptions of the simulation: generation is at 60% of its capacity, 40% by paid and 20% by
//! trial work, and each other stage at 35% to 49%.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use amaranthscale_core::unit::{Class, RatePerSecond, Weight};

use super::organisation_spec::OrganisationSpec;
use super::pipeline_spec::PipelineSpec;
use super::service_spec::ServiceSpec;

/// Slots and median times of the stages before generation, in both deployments.
const ENCODE: (u32, f64) = (2, 60.0);
const RETRIEVE: (u32, f64) = (2, 80.0);
const RERANK: (u32, f64) = (2, 70.0);
/// Slots and median time of a plain service for settlements or notifications.
const PLAIN: (u32, f64) = (2, 50.0);
/// Spread (sigma) of the times of plain stages and of engines.
const PLAIN_SIGMA: f64 = 0.3;
const ENGINE_SIGMA: f64 = 0.4;
/// Sequences in an engine's batch.
const ENGINE_SLOTS: u32 = 8;
/// Index of the repeatable pipeline.
pub(super) const ANSWER: usize = 0;
/// Index of the call that must not be repeated.
pub(super) const SETTLE: usize = 1;
/// Index of the reranking stage's service.
pub(super) const RERANK_SERVICE: usize = 2;
/// Number of stages of the repeatable pipeline.
pub(super) const STAGES: usize = 4;
/// Limit of an organisation, as a multiple of its usual rate.
const LIMIT_FACTOR: f64 = 1.5;

/// A simulated deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name for the command line.
    pub name: &'static str,
    /// Region of its hosts.
    pub region: &'static str,
    /// Its availability zones.
    pub zones: Vec<&'static str>,
    /// Number of entry hosts.
    pub entries: usize,
    /// Its services; the first four are the stages of a request.
    pub services: Vec<ServiceSpec>,
    /// Its pipelines: a repeatable one, and a call that must not be repeated.
    pub pipelines: Vec<PipelineSpec>,
    /// Its organisations.
    pub organisations: Vec<OrganisationSpec>,
}

impl Deployment {
    /// The deployment for beet intake routing.
    #[must_use]
    pub fn delta_basin() -> Self {
        Self {
            name: "delta",
            region: "delta-south",
            zones: vec!["north-yard", "south-yard", "mill-office", "tare-shed"],
            entries: 3,
            services: vec![
                plain("scalehouse", 5, ENCODE),
                plain("pile-yard", 5, RETRIEVE),
                plain("haul-dispatch", 5, RERANK),
                engine("assay-llm", 10, 800.0),
                plain("grower-ledger", 5, PLAIN),
            ],
            pipelines: pipelines(Duration::from_secs(4)),
            organisations: organisations(37.0, 18.5),
        }
    }

    /// The deployment of the registry router fleet.
    #[must_use]
    pub fn cedarline() -> Self {
        Self {
            name: "cedarline",
            region: "bc-coast",
            zones: vec!["hall-a", "hall-b", "hall-c"],
            entries: 3,
            services: vec![
                plain("intake-svc", 5, ENCODE),
                plain("registry-api", 5, RETRIEVE),
                plain("caseworker-portal", 5, RERANK),
                engine("amaranth-pool", 20, 1_500.0),
                plain("notify-svc", 3, PLAIN),
            ],
            pipelines: pipelines(Duration::from_secs(6)),
            organisations: organisations(39.0, 19.5),
        }
    }

    /// The same deployment with its usual demand multiplied by a factor; limits are unchanged.
    #[must_use]
    pub fn with_load(mut self, factor: f64) -> Self {
        for spec in &mut self.organisations {
            spec.rate = RatePerSecond::new(spec.rate.get() * factor);
            spec.settle_rate = RatePerSecond::new(spec.settle_rate.get() * factor);
        }
        self
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "delta" => Ok(Self::delta_basin()),
            "cedarline" => Ok(Self::cedarline()),
            _ => Err(format!(
                "deployment {name:?} is unknown: use delta or cedarline"
            )),
        }
    }
}

const fn plain(name: &'static str, servers: usize, (slots, median_ms): (u32, f64)) -> ServiceSpec {
    ServiceSpec {
        name,
        servers,
        slots,
        median_ms,
        sigma: PLAIN_SIGMA,
        is_engine: false,
    }
}

const fn engine(name: &'static str, servers: usize, median_ms: f64) -> ServiceSpec {
    ServiceSpec {
        name,
        servers,
        slots: ENGINE_SLOTS,
        median_ms,
        sigma: ENGINE_SIGMA,
        is_engine: true,
    }
}

fn pipelines(deadline: Duration) -> Vec<PipelineSpec> {
    vec![
        PipelineSpec {
            stages: (0..STAGES).collect(),
            deadline,
            is_repeatable: true,
        },
        PipelineSpec {
            stages: vec![STAGES],
            deadline: Duration::from_secs(2),
            is_repeatable: false,
        },
    ]
}

/// Five organisations of different sizes.
fn organisations(paid_per_s: f64, trial_per_s: f64) -> Vec<OrganisationSpec> {
    vec![
        organisation("paid-large", Class::Paid, 4, paid_per_s * 0.5),
        organisation("paid-middle", Class::Paid, 3, paid_per_s * 0.35),
        organisation("paid-small", Class::Paid, 1, paid_per_s * 0.15),
        organisation("trial-large", Class::Trial, 1, trial_per_s * 0.7),
        organisation("trial-small", Class::Trial, 1, trial_per_s * 0.3),
    ]
}

fn organisation(
    name: &'static str,
    class: Class,
    weight: u32,
    rate_per_s: f64,
) -> OrganisationSpec {
    let settle_share = if class == Class::Paid { 0.15 } else { 0.0 };
    OrganisationSpec {
        name,
        class,
        weight: Weight::new(weight),
        rate: RatePerSecond::new(rate_per_s),
        settle_rate: RatePerSecond::new(rate_per_s * settle_share),
        limit: RatePerSecond::new(rate_per_s * (1.0 + settle_share) * LIMIT_FACTOR),
    }
}

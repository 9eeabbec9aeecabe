//! Simulates how much of an organisation's limit is lost when many entries share it.

use std::time::Duration;

use amaranthscale_core::id::OrganisationId;
use amaranthscale_core::process::OrganisationLimits;
use amaranthscale_core::unit::RatePerSecond;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::spread::Spread;

/// Limit of the organisation over all entries: 5,100 requests per second over 1,300 organisations,
/// with some headroom.
const LIMIT_PER_S: f64 = 5.0;
/// Offered rate: 80% of the limit, so that a central limiter would refuse almost none.
const OFFERED_PER_S: f64 = 4.0;
/// Duration of a run on the virtual clock.
const RUN_S: f64 = 1800.0;
/// Number of runs, each with its own seed.
const SEEDS: u64 = 10;

/// Percentage of requests refused as over the limit, when a balancer distributes them randomly.
pub(super) fn refused_share(entries: u32) -> Value {
    let shares = (0..SEEDS).map(|seed| refused_percent(entries, seed));
    json!({
        "entries": entries, "limit_per_s": LIMIT_PER_S, "offered_per_s": OFFERED_PER_S,
        "refused_percent": Spread::of(shares),
    })
}

fn refused_percent(entries: u32, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limits: Vec<_> = (0..entries).map(|_| OrganisationLimits::new()).collect();
    // The name is valid.
    let organisation: OrganisationId = "organisation".parse().expect("a valid name");
    let limit = Some(RatePerSecond::new(LIMIT_PER_S));
    let (mut now_s, mut asked, mut refused) = (0.0, 0_u32, 0_u32);
    while now_s < RUN_S {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        now_s -= uniform.ln() / OFFERED_PER_S;
        let entry = random.random_range(0..limits.len());
        let now = Duration::from_secs_f64(now_s);
        let admitted = limits[entry].admit(&organisation, limit, None, entries, now);
        asked += 1;
        refused += u32::from(admitted.is_err());
    }
    f64::from(refused) / f64::from(asked.max(1)) * 100.0
}

//! Compares ways of sharing the rate limit of cold servers between entries.
//!
//! All servers of a service are cold. Requests arrive at random entries, at the sum of the servers'
//! limits; an entry sends each request to any server at which its share allows it, or refuses it.
//! Printed for each way and number of entries: the used fraction of the limit, the maximum requests
//! at one server in any second as a fraction of its limit, and the entries without a share at any
//! server.
//!
//!     cargo run --release -p amaranthscale-core --example cold_load

use std::collections::VecDeque;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{RecentSends, SendShare};

/// Servers of the service.
const SERVERS: usize = 12;
/// Rate limit of one cold server, in requests per second.
const MAX_PER_S: f64 = 36.5;
/// Simulated time, in steps of a millisecond.
const STEPS: u64 = 20_000;
const SECOND: Duration = Duration::from_secs(1);
/// Fraction of its rate that the share of an owner uses; used to create a share of any rate.
const OWNER_FRACTION: f64 = 0.5;
/// Fraction of the limit that all entries together use.
const USED_FRACTION: f64 = 0.6;

/// How entries share the limit.
#[derive(Debug, Clone, Copy)]
enum Sharing {
    /// An equal share for each entry at each server.
    Each,
    /// Larger shares for few entries at each server, by rendezvous hash.
    Few,
}

struct Results {
    used: f64,
    most: f64,
    reaching_none: usize,
}

/// A small random generator with a fixed sequence per seed.
struct FixedRandom(u64);

impl FixedRandom {
    fn fraction(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        f64::from(u32::try_from(self.0 >> 32).unwrap_or(0)) / f64::from(u32::MAX)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is below the bound"
    )]
    fn below(&mut self, bound: usize) -> usize {
        ((self.fraction() * as_f64(bound)) as usize).min(bound - 1)
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("entries  way   used of bound  most in a second  entries that reach none");
    for entries in [5, 26, 103, 380] {
        for sharing in [Sharing::Each, Sharing::Few] {
            let results = run(sharing, entries)?;
            let name = format!("{sharing:?}");
            println!(
                "{entries:>7}  {name:<4}  {:>13.2}  {:>16.2}  {:>23}",
                results.used, results.most, results.reaching_none
            );
        }
    }
    Ok(())
}

fn run(sharing: Sharing, entries: usize) -> Result<Results, Box<dyn Error>> {
    let addresses: Result<Vec<SocketAddr>, _> = (0..entries)
        .map(|index| format!("10.{}.{}.1:7740", index / 250, index % 250).parse())
        .collect();
    let addresses = addresses?;
    let incarnations: Result<Vec<ServerIncarnation>, _> = (0..SERVERS)
        .map(|index| format!("server-{index}").parse())
        .collect();
    let incarnations = incarnations?;
    let share = |own: &SocketAddr, incarnation: &ServerIncarnation| match sharing {
        Sharing::Each => {
            SendShare::of_owner(MAX_PER_S * USED_FRACTION / as_f64(entries) / OWNER_FRACTION)
        }
        Sharing::Few => SendShare::of_entry(incarnation, MAX_PER_S, SERVERS, *own, &addresses),
    };
    let shares: Vec<Vec<SendShare>> = addresses
        .iter()
        .map(|own| {
            incarnations
                .iter()
                .map(|incarnation| share(own, incarnation))
                .collect()
        })
        .collect();
    let none = |shares: &&Vec<SendShare>| shares.iter().all(|share| share.sends() == 0);
    let mut sends = vec![RecentSends::default(); entries];
    let mut recent = vec![VecDeque::new(); SERVERS];
    let mut random = FixedRandom(7);
    let (mut served, mut most) = (0_u32, 0);
    let rate_per_step = MAX_PER_S * as_f64(SERVERS) / 1_000.0;
    for step in 0..STEPS {
        let now = SECOND + Duration::from_millis(step);
        if random.fraction() > rate_per_step {
            continue;
        }
        let entry = random.below(entries);
        let first = random.below(SERVERS);
        let mut order = (0..SERVERS).map(|index| (first + index) % SERVERS);
        let allowed = order.find(|server| {
            sends[entry].try_send(&incarnations[*server], shares[entry][*server], now)
        });
        let Some(chosen) = allowed else {
            continue;
        };
        served += 1;
        let at_server: &mut VecDeque<Duration> = &mut recent[chosen];
        at_server.push_back(now);
        while at_server
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= SECOND)
        {
            at_server.pop_front();
        }
        most = most.max(at_server.len());
    }
    let seconds = Duration::from_millis(STEPS).as_secs_f64();
    Ok(Results {
        used: f64::from(served) / seconds / MAX_PER_S / as_f64(SERVERS),
        most: as_f64(most) / MAX_PER_S,
        reaching_none: shares.iter().filter(none).count(),
    })
}

//! What ways of sharing a cold server's bound serve, and how near they come to it.
//!
//! A whole service is cold. Requests come to entries at random, at the rate that all servers together
//! may take; each entry sends a request to any server at which it has a share left, or refuses it.
//! Shown for each way and number of entries: the part of the bound that is used, the most requests
//! at one server in any second as a part of its bound, and entries that reach no server.
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
/// Requests a second that one cold server takes.
const MOST_PER_S: f64 = 36.5;
/// Simulated time, in steps of a millisecond.
const STEPS: u64 = 20_000;
const SECOND: Duration = Duration::from_secs(1);
/// What the owner's share leaves unused, by which a share of any rate is made.
const OWNER_PART: f64 = 0.5;
/// Part of the bound that all entries use.
const USED_PART: f64 = 0.6;

/// How entries share the bound.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// An equal share for each entry at each server.
    Each,
    /// Larger shares for few entries at each server, by rendezvous hash.
    Few,
}

struct Figures {
    used: f64,
    most: f64,
    reaching_none: usize,
}

/// A small generator of numbers, the same in each run.
struct Numbers(u64);

impl Numbers {
    fn part(&mut self) -> f64 {
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
        ((self.part() * as_f64(bound)) as usize).min(bound - 1)
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("entries  way   used of bound  most in a second  entries that reach none");
    for entries in [5, 26, 103, 380] {
        for way in [Way::Each, Way::Few] {
            let figures = run(way, entries)?;
            let name = format!("{way:?}");
            println!(
                "{entries:>7}  {name:<4}  {:>13.2}  {:>16.2}  {:>23}",
                figures.used, figures.most, figures.reaching_none
            );
        }
    }
    Ok(())
}

fn run(way: Way, entries: usize) -> Result<Figures, Box<dyn Error>> {
    let addresses: Result<Vec<SocketAddr>, _> = (0..entries)
        .map(|index| format!("10.{}.{}.1:7740", index / 250, index % 250).parse())
        .collect();
    let addresses = addresses?;
    let lives: Result<Vec<ServerIncarnation>, _> = (0..SERVERS)
        .map(|index| format!("server-{index}").parse())
        .collect();
    let lives = lives?;
    let share = |own: &SocketAddr, life: &ServerIncarnation| match way {
        Way::Each => SendShare::of_owner(MOST_PER_S * USED_PART / as_f64(entries) / OWNER_PART),
        Way::Few => SendShare::of_entry(life, MOST_PER_S, SERVERS, *own, &addresses),
    };
    let shares: Vec<Vec<SendShare>> = addresses
        .iter()
        .map(|own| lives.iter().map(|life| share(own, life)).collect())
        .collect();
    let none = |shares: &&Vec<SendShare>| shares.iter().all(|share| share.sends() == 0);
    let mut sends = vec![RecentSends::default(); entries];
    let mut recent = vec![VecDeque::new(); SERVERS];
    let mut numbers = Numbers(7);
    let (mut served, mut most) = (0_u32, 0);
    let rate_per_step = MOST_PER_S * as_f64(SERVERS) / 1_000.0;
    for step in 0..STEPS {
        let now = SECOND + Duration::from_millis(step);
        if numbers.part() > rate_per_step {
            continue;
        }
        let entry = numbers.below(entries);
        let first = numbers.below(SERVERS);
        let mut order = (0..SERVERS).map(|index| (first + index) % SERVERS);
        let taken = order
            .find(|server| sends[entry].try_send(&lives[*server], shares[entry][*server], now));
        let Some(chosen) = taken else {
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
    Ok(Figures {
        used: f64::from(served) / seconds / MOST_PER_S / as_f64(SERVERS),
        most: as_f64(most) / MOST_PER_S,
        reaching_none: shares.iter().filter(none).count(),
    })
}

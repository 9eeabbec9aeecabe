//! What all entries together send to a cold server.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/entries.rs"]
mod entries;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ColdAllowance, ColdSpec, RecentSends, SendShare};
use entries::{Numbers, address, addresses, life};

const SECOND: Duration = Duration::from_secs(1);

fn share(
    server: usize,
    max_per_s: f64,
    servers: usize,
    own: usize,
    all: &[SocketAddr],
) -> SendShare {
    SendShare::of_entry(&life(server), max_per_s, servers, all[own], all)
}

#[test]
fn the_bound_is_the_servers_rate_and_what_operators_add() {
    let spec = ColdSpec {
        cold_duration: 3 * SECOND,
        requests_per_s: 21.0,
    };

    let usual = spec.with_allowance(ColdAllowance::default());
    let more = spec.with_allowance(ColdAllowance {
        factor: 1.5,
        slack: 5.0,
    });

    assert!((usual.max_per_s - 21.0).abs() < 1e-9);
    assert!((more.max_per_s - 36.5).abs() < 1e-9);
}

/// Deployments of every size share one bound: whatever the number of entries, the sum of what they
/// may send stays below it, and some of it may always be sent.
#[test]
fn the_shares_of_all_entries_keep_within_the_bound() {
    for entries in [1, 2, 3, 5, 26, 103, 380] {
        let all = addresses(entries);
        for max_per_s in [0.3, 1.0, 2.0, 7.5, 36.5, 400.0] {
            for server in 0..2 {
                let shares = (0..entries).map(|own| share(server, max_per_s, 12, own, &all));
                let shares: Vec<_> = shares.collect();
                let most: usize = shares.iter().map(|share| share.sends()).sum();

                let spans_s = shares.iter().map(|share| share.window().as_secs_f64());
                assert!(most >= 1, "{entries} entries, {max_per_s} a second");
                // A share of less than one a second is one in a longer span.
                let longest_s = spans_s.fold(1.0, f64::max);
                let most = f64::from(u32::try_from(most).unwrap());
                assert!(
                    most <= (max_per_s * longest_s).max(1.0),
                    "{entries} entries, {max_per_s} a second: {most} in {longest_s} s"
                );
            }
        }
    }
}

#[test]
fn a_rate_of_nothing_lets_nothing_through() {
    assert_eq!(share(0, 0.0, 4, 0, &addresses(1)), SendShare::NONE);
}

/// A whole service comes back cold. Each entry should be able to reach one of its servers, or all
/// of its callers would be refused while others are served.
#[test]
fn nearly_every_entry_reaches_some_cold_server() {
    for (entries, servers) in [(26, 4), (26, 47), (103, 12), (380, 660)] {
        let all = addresses(entries);
        let reaches = |own: &usize| {
            (0..servers).any(|server| share(server, 36.5, servers, *own, &all).sends() > 0)
        };
        // A sample of hundreds says as much.
        let asked = entries.min(40);
        let reaching = (0..asked).filter(reaches).count();

        assert!(
            reaching * 10 >= asked * 8,
            "{reaching} of {asked} entries reach one of {servers} servers"
        );
    }
}

/// Entries start again, as after a loss of power. The list names new lives at the same addresses, so
/// nobody's share may change by it.
#[test]
fn a_share_hangs_on_addresses_alone() {
    let all = addresses(26);
    let mut turned = all.clone();
    turned.reverse();

    for own in &all {
        let first = SendShare::of_entry(&life(1), 36.5, 47, *own, &all);
        let second = SendShare::of_entry(&life(1), 36.5, 47, *own, &turned);
        assert_eq!(first, second);
    }
}

/// An entry with a queue for one cold server, which may stand still and wake up.
struct Entry {
    index: usize,
    /// Entries that it has heard of.
    known: usize,
    share: SendShare,
    sends: RecentSends,
    started: Duration,
    frozen_until: Duration,
    queue: VecDeque<Duration>,
}

impl Entry {
    fn new(index: usize, now: Duration) -> Self {
        Self {
            index,
            known: 0,
            share: SendShare::NONE,
            sends: RecentSends::default(),
            started: now,
            frozen_until: now,
            queue: VecDeque::new(),
        }
    }

    /// Hears of so many entries.
    fn hear(&mut self, server: &ServerIncarnation, max_per_s: f64, known: usize) {
        if self.known != known {
            let own = address(self.index);
            let all = addresses(known);
            self.share = SendShare::of_entry(server, max_per_s, 12, own, &all);
            self.known = known;
        }
    }

    /// Sends what it may of what waits; says how much.
    fn turn(&mut self, server: &ServerIncarnation, now: Duration) -> usize {
        self.queue.push_back(now);
        if self.frozen_until > now || now.saturating_sub(self.started) < SECOND {
            return 0;
        }
        let mut sent = 0;
        while !self.queue.is_empty() && self.sends.try_send(server, self.share, now) {
            self.queue.pop_front();
            sent += 1;
        }
        sent
    }
}

/// One run: entries come and hear of each other late, freeze with full queues and start again, all
/// with more requests for one cold server than it takes. Gives the most sends in any second.
fn most_in_a_second(seed: u64, entries: usize, max_per_s: f64) -> usize {
    let mut numbers = Numbers(seed);
    let server = life(numbers.below(1_000));
    let mut now = 10 * SECOND;
    let begun = (0..entries).map(|index| Entry::new(index, now));
    let mut all: Vec<_> = begun.collect();
    for entry in &mut all {
        entry.hear(&server, max_per_s, entries);
    }
    let mut sent_at: VecDeque<Duration> = VecDeque::new();
    let mut most = 0;
    for _ in 0..600 {
        now += Duration::from_millis(10);
        if numbers.below(50) == 0 && all.len() < entries * 3 / 2 {
            // It reads the list after its announcement; the others hear of it by and by.
            let index = all.len();
            all.push(Entry::new(index, now));
            all[index].hear(&server, max_per_s, index + 1);
        }
        let count = all.len();
        let one = numbers.below(count);
        match numbers.below(200) {
            0..10 => all[one].frozen_until = now + Duration::from_millis(500),
            10 => {
                all[one] = Entry::new(one, now);
                all[one].hear(&server, max_per_s, count);
            }
            11..60 => all[one].hear(&server, max_per_s, count),
            _ => {}
        }
        for entry in &mut all {
            for _ in 0..entry.turn(&server, now) {
                sent_at.push_back(now);
            }
        }
        while sent_at
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= SECOND)
        {
            sent_at.pop_front();
        }
        most = most.max(sent_at.len());
    }
    most
}

#[test]
fn random_runs_keep_the_bound_whatever_entries_know() {
    for seed in 0..3 {
        for entries in [3, 26, 60] {
            for max_per_s in [5.0, 36.5] {
                let most = most_in_a_second(seed, entries, max_per_s);

                let most = f64::from(u32::try_from(most).unwrap());
                assert!(
                    most <= max_per_s,
                    "seed {seed}, {entries} entries: {most} of {max_per_s}"
                );
                assert!(most >= 1.0);
            }
        }
    }
}

/// Choices are made before pieces, sends after them: choices that leave together are held by the
/// count of sends, and choices alone never fill it.
#[test]
fn choices_and_sends_are_counted_apart() {
    let share = SendShare::of_owner(4.0);
    let (server, now) = (life(0), 10 * SECOND);
    let mut sends = RecentSends::default();
    sends.record_choice(&server, share, now);
    assert!(sends.can_choose(&server, share, now));
    sends.record_choice(&server, share, now);

    assert!(!sends.can_choose(&server, share, now));
    assert!(sends.can_choose(&server, share, now + SECOND));
    assert!(sends.can_send(&server, share, now));
    assert!(sends.try_send(&server, share, now));
    assert!(sends.try_send(&server, share, now));
    assert!(!sends.can_send(&server, share, now));

    sends.retain(|_server| false);
    assert!(sends.can_send(&server, share, now));
}

/// A server becomes cold without a start. What it was sent in the second before it said so counts: it
/// must not get a whole share on top.
#[test]
fn what_was_sent_before_a_server_became_cold_counts() {
    let share = SendShare::of_owner(6.0);
    let (server, now) = (life(0), 10 * SECOND);
    let mut sends = RecentSends::default();
    for _ in 0..2 {
        sends.record_send(&server, now);
    }

    assert!(sends.try_send(&server, share, now));
    assert!(!sends.try_send(&server, share, now));
    assert!(sends.try_send(&server, share, now + SECOND));
}

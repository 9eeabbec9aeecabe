//! What all entries together send to a server that reports a rate limit, counted at the server.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/entries.rs"]
mod entries;

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::process::{RecentSends, SendRateLimit, SendShare};
use entries::{FixedRandom, address, addresses, server_incarnation};

const STEP: Duration = Duration::from_millis(50);
/// Window in which the server counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which an entry that knows the limit must observe it.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time for which an entry that started or was frozen need not observe it.
const GRACE: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
/// Requests that arrive at an entry for the server in each step.
const ARRIVALS_PER_STEP: usize = 3;

/// Maximum requests that may reach the server within a window.
fn allowed(per_s: f64) -> f64 {
    per_s * WINDOW.as_secs_f64() * 1.5 + 5.0
}

fn share(server: usize, per_s: f64, servers: usize, own: usize, all: &[SocketAddr]) -> SendShare {
    let bound = SendRateLimit::Limited { max_per_s: per_s };
    bound.share_of_entry(&server_incarnation(server), servers, all[own], all)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Maximum sends of a share in any window.
fn max_in_window(share: SendShare) -> f64 {
    let windows = WINDOW.as_secs_f64() / share.window().as_secs_f64();
    as_f64(share.sends()) * windows.ceil()
}

const SIZES: [usize; 7] = [1, 2, 5, 26, 60, 103, 380];
const RATES: [f64; 8] = [0.1, 0.3, 1.0, 1.1, 3.7, 10.0, 60.0, 1_000.0];

#[test]
fn the_shares_of_all_entries_stay_within_the_rate_limit() {
    for entries in SIZES {
        let all = addresses(entries);
        for per_s in RATES {
            for servers in [1, 3, 18, 180] {
                let shares = (0..entries).map(|own| share(7, per_s, servers, own, &all));
                let shares: Vec<_> = shares.filter(|share| share.sends() > 0).collect();
                let most: f64 = shares.iter().copied().map(max_in_window).sum();
                let rate = |share: &SendShare| as_f64(share.sends()) / share.window().as_secs_f64();
                let rate: f64 = shares.iter().map(rate).sum();

                let case = format!("{entries} entries, {per_s} a second, {servers} servers");
                assert!(most <= allowed(per_s), "{case}: {most} in a window");
                assert!(
                    rate <= per_s && rate >= per_s * 0.89,
                    "{case}: {rate} a second"
                );
            }
        }
    }
}

/// Otherwise most entries could not use a server although its limit is not reached.
#[test]
fn every_entry_may_send_to_a_server_with_a_limit_above_one_a_second_each() {
    for entries in SIZES {
        let all = addresses(entries);
        let per_s = as_f64(entries) * 1.2;

        let senders = (0..entries).filter(|own| share(7, per_s, 18, *own, &all).sends() > 0);

        assert_eq!(senders.count(), entries);
    }
}

/// Otherwise some entries could use no server of a service whose servers all report limits.
#[test]
fn most_entries_may_send_to_some_server_when_all_report_limits() {
    for entries in [1, 2, 5, 26] {
        let all = addresses(entries);
        for servers in [1, 3, 4, 18] {
            let reaches = |own: usize| {
                (0..servers).any(|server| share(server, 4.0, servers, own, &all).sends() > 0)
            };
            let reaching = (0..entries).filter(|own| reaches(*own)).count();

            assert!(
                reaching * 10 >= entries.min(11 * servers) * 8,
                "{reaching} of {entries} entries, {servers} servers"
            );
        }
    }
}

/// An entry that learns of the limit at some time, may be frozen and may restart.
#[derive(Debug)]
struct Entry {
    index: usize,
    known: usize,
    learned_at: Option<Duration>,
    sends: RecentSends,
    exempt_until: Duration,
    frozen_until: Duration,
    quiet_until: Duration,
    queue: usize,
    /// Its share, recomputed when the number of known entries changes.
    share: Option<SendShare>,
}

impl Entry {
    fn new(index: usize, known: usize, now: Duration) -> Self {
        Self {
            index,
            known,
            learned_at: None,
            sends: RecentSends::default(),
            exempt_until: now,
            frozen_until: now,
            quiet_until: now,
            queue: 0,
            share: None,
        }
    }

    /// Learns the number of entries.
    fn set_known(&mut self, known: usize) {
        self.known = known;
        self.share = None;
    }

    /// Sends as many queued requests as its share allows; returns how many of them must observe the
    /// limit.
    fn send_queued(&mut self, per_s: f64, servers: usize, now: Duration) -> usize {
        self.queue = (self.queue + ARRIVALS_PER_STEP).min(40);
        if self.frozen_until > now {
            return 0;
        }
        let Some(learned_at) = self.learned_at else {
            // The answers to its own requests report the limit.
            self.queue = 0;
            self.learned_at = Some(now);
            return 0;
        };
        if self.quiet_until > now {
            return 0;
        }
        let (known, own) = (self.known, self.index);
        let compute = || share(7, per_s, servers, own, &addresses(known));
        let share = *self.share.get_or_insert_with(compute);
        let mut sent = 0;
        while self.queue > 0 && self.sends.try_send(&server_incarnation(7), share, now) {
            self.queue -= 1;
            sent += 1;
        }
        let counts = learned_at + NOTICE_TIME <= now && self.exempt_until <= now;
        if counts { sent } else { 0 }
    }
}

/// One run of half a minute; returns the maximum of counted sends in any window, and their total.
fn run(seed: u64, entries: usize, per_s: f64, servers: usize) -> (usize, usize) {
    let mut random = FixedRandom(seed);
    let mut now = 10 * SECOND;
    let initial = (0..entries).map(|index| Entry::new(index, entries, now));
    let mut all: Vec<_> = initial.collect();
    let (mut sent_at, mut most, mut total) = (VecDeque::new(), 0, 0);
    for _ in 0..600 {
        now += STEP;
        let count = all.len();
        let one = random.below(count);
        match random.below(400) {
            0..6 => {
                all[one].frozen_until = now + Duration::from_millis(1_500);
                all[one].exempt_until = now + Duration::from_millis(1_500) + GRACE;
            }
            6..9 => {
                all[one] = Entry::new(one, count, now);
                all[one].quiet_until = now + SECOND;
                all[one].exempt_until = now + GRACE;
            }
            9 if count < entries + 2 => {
                all.push(Entry::new(count, count + 1, now));
                all[count].quiet_until = now + SECOND;
            }
            // The others learn of it gradually.
            10..90 if all[one].known != count => all[one].set_known(count),
            _ => {}
        }
        for entry in &mut all {
            for _ in 0..entry.send_queued(per_s, servers, now) {
                sent_at.push_back(now);
                total += 1;
            }
        }
        while sent_at
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= WINDOW)
        {
            sent_at.pop_front();
        }
        most = most.max(sent_at.len());
    }
    (most, total)
}

#[test]
fn random_runs_stay_within_the_limit_in_every_window() {
    for seed in 0..3 {
        for entries in [1, 3, 5, 26, 60] {
            for per_s in [0.3, 1.0, 1.1, 6.0, 30.0] {
                for servers in [3, 18] {
                    let (most, total) = run(seed, entries, per_s, servers);

                    let case =
                        format!("seed {seed}, {entries} entries, {per_s}, {servers} servers");
                    assert!(as_f64(most) <= allowed(per_s), "{case}: {most} in a window");
                    assert!(total > 0, "{case}: nothing was sent");
                }
            }
        }
    }
}

#[test]
fn the_senders_of_a_server_hardly_change_when_an_entry_joins() {
    let senders = |count: usize| -> BTreeSet<SocketAddr> {
        let all = addresses(count);
        let is_sender = |own: &usize| share(7, 9.0, 18, *own, &all).sends() > 0;
        (0..count).filter(is_sender).map(address).collect()
    };
    let (before, after) = (senders(60), senders(61));

    assert!(before.difference(&after).count() <= 1);
}

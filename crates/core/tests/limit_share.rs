//! What all entries together send to a server that names a limit, counted at the server.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/entries.rs"]
mod entries;

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::process::{RecentSends, SendRateLimit, SendShare};
use entries::{Numbers, address, addresses, life};

const STEP: Duration = Duration::from_millis(50);
/// Span in which the server counts.
const SPAN: Duration = Duration::from_secs(4);
/// Time after which an entry that has heard of the limit counts.
const TOLD: Duration = Duration::from_millis(500);
/// Time for which an entry that started or stood still does not count.
const EXCUSED: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
/// Requests that an entry has for the server in each step.
const WANTED: usize = 3;

/// Requests that may reach the server within a span.
fn allowed(per_s: f64) -> f64 {
    per_s * SPAN.as_secs_f64() * 1.5 + 5.0
}

fn share(server: usize, per_s: f64, servers: usize, own: usize, all: &[SocketAddr]) -> SendShare {
    let bound = SendRateLimit::Limited { max_per_s: per_s };
    bound.share_of_entry(&life(server), servers, all[own], all)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Most sends of a share in a span that lies anywhere.
fn most_in_span(share: SendShare) -> f64 {
    let spans = SPAN.as_secs_f64() / share.window().as_secs_f64();
    as_f64(share.sends()) * spans.ceil()
}

const SIZES: [usize; 7] = [1, 2, 5, 26, 60, 103, 380];
const RATES: [f64; 8] = [0.1, 0.3, 1.0, 1.1, 3.7, 10.0, 60.0, 1_000.0];

#[test]
fn the_shares_of_all_entries_keep_within_the_limit() {
    for entries in SIZES {
        let all = addresses(entries);
        for per_s in RATES {
            for servers in [1, 3, 18, 180] {
                let shares = (0..entries).map(|own| share(7, per_s, servers, own, &all));
                let shares: Vec<_> = shares.filter(|share| share.sends() > 0).collect();
                let most: f64 = shares.iter().copied().map(most_in_span).sum();
                let rate = |share: &SendShare| as_f64(share.sends()) / share.window().as_secs_f64();
                let rate: f64 = shares.iter().map(rate).sum();

                let case = format!("{entries} entries, {per_s} a second, {servers} servers");
                assert!(most <= allowed(per_s), "{case}: {most} in a span");
                assert!(
                    rate <= per_s && rate >= per_s * 0.89,
                    "{case}: {rate} a second"
                );
            }
        }
    }
}

/// Guards against a limit that nobody reaches and that keeps most entries away.
#[test]
fn every_entry_may_send_to_a_server_that_takes_a_request_a_second_of_each() {
    for entries in SIZES {
        let all = addresses(entries);
        let per_s = as_f64(entries) * 1.2;

        let senders = (0..entries).filter(|own| share(7, per_s, 18, *own, &all).sends() > 0);

        assert_eq!(senders.count(), entries);
    }
}

/// Guards against entries that reach no server of a service whose servers are all in need.
#[test]
fn each_entry_reaches_some_of_a_service_whose_servers_all_name_limits() {
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

/// An entry that learns of the limit some time, may stand still, and may start again.
#[derive(Debug)]
struct Entry {
    index: usize,
    known: usize,
    heard_at: Option<Duration>,
    sends: RecentSends,
    excused_until: Duration,
    frozen_until: Duration,
    quiet_until: Duration,
    queue: usize,
    /// Its share, worked out anew when it hears of others.
    share: Option<SendShare>,
}

impl Entry {
    fn new(index: usize, known: usize, now: Duration) -> Self {
        Self {
            index,
            known,
            heard_at: None,
            sends: RecentSends::default(),
            excused_until: now,
            frozen_until: now,
            quiet_until: now,
            queue: 0,
            share: None,
        }
    }

    /// Hears of so many entries.
    fn hear(&mut self, known: usize) {
        self.known = known;
        self.share = None;
    }

    /// Sends what it may of what waits; says how much of it counts.
    fn turn(&mut self, per_s: f64, servers: usize, now: Duration) -> usize {
        self.queue = (self.queue + WANTED).min(40);
        if self.frozen_until > now {
            return 0;
        }
        let Some(heard_at) = self.heard_at else {
            // Its own sends teach it.
            self.queue = 0;
            self.heard_at = Some(now);
            return 0;
        };
        if self.quiet_until > now {
            return 0;
        }
        let (known, own) = (self.known, self.index);
        let worked_out = || share(7, per_s, servers, own, &addresses(known));
        let share = *self.share.get_or_insert_with(worked_out);
        let mut sent = 0;
        while self.queue > 0 && self.sends.try_send(&life(7), share, now) {
            self.queue -= 1;
            sent += 1;
        }
        let counts = heard_at + TOLD <= now && self.excused_until <= now;
        if counts { sent } else { 0 }
    }
}

/// One run of half a minute; the most that counts in any span, and all that counts.
fn run(seed: u64, entries: usize, per_s: f64, servers: usize) -> (usize, usize) {
    let mut numbers = Numbers(seed);
    let mut now = 10 * SECOND;
    let begun = (0..entries).map(|index| Entry::new(index, entries, now));
    let mut all: Vec<_> = begun.collect();
    let (mut sent_at, mut most, mut total) = (VecDeque::new(), 0, 0);
    for _ in 0..600 {
        now += STEP;
        let count = all.len();
        let one = numbers.below(count);
        match numbers.below(400) {
            0..6 => {
                all[one].frozen_until = now + Duration::from_millis(1_500);
                all[one].excused_until = now + Duration::from_millis(1_500) + EXCUSED;
            }
            6..9 => {
                all[one] = Entry::new(one, count, now);
                all[one].quiet_until = now + SECOND;
                all[one].excused_until = now + EXCUSED;
            }
            9 if count < entries + 2 => {
                all.push(Entry::new(count, count + 1, now));
                all[count].quiet_until = now + SECOND;
            }
            // The others hear of it by and by.
            10..90 if all[one].known != count => all[one].hear(count),
            _ => {}
        }
        for entry in &mut all {
            for _ in 0..entry.turn(per_s, servers, now) {
                sent_at.push_back(now);
                total += 1;
            }
        }
        while sent_at
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= SPAN)
        {
            sent_at.pop_front();
        }
        most = most.max(sent_at.len());
    }
    (most, total)
}

#[test]
fn random_runs_keep_the_limit_in_every_span_whatever_entries_know() {
    for seed in 0..3 {
        for entries in [1, 3, 5, 26, 60] {
            for per_s in [0.3, 1.0, 1.1, 6.0, 30.0] {
                for servers in [3, 18] {
                    let (most, total) = run(seed, entries, per_s, servers);

                    let case =
                        format!("seed {seed}, {entries} entries, {per_s}, {servers} servers");
                    assert!(as_f64(most) <= allowed(per_s), "{case}: {most} in a span");
                    assert!(total > 0, "{case}: nothing was sent");
                }
            }
        }
    }
}

#[test]
fn the_senders_of_a_server_stay_mostly_the_same_when_an_entry_comes() {
    let senders = |count: usize| -> BTreeSet<SocketAddr> {
        let all = addresses(count);
        let is_sender = |own: &usize| share(7, 9.0, 18, *own, &all).sends() > 0;
        (0..count).filter(is_sender).map(address).collect()
    };
    let (before, after) = (senders(60), senders(61));

    assert!(before.difference(&after).count() <= 1);
}

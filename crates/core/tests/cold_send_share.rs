//! Rate limits on what all entries together send to a cold server.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

#[path = "support/entries.rs"]
mod entries;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{ColdAllowance, ColdSpec, RecentSends, SendShare};
use entries::{FixedRandom, address, addresses, server_incarnation};

const SECOND: Duration = Duration::from_secs(1);

fn share(
    server: usize,
    max_per_s: f64,
    servers: usize,
    own: usize,
    all: &[SocketAddr],
) -> SendShare {
    SendShare::of_entry(
        &server_incarnation(server),
        max_per_s,
        servers,
        all[own],
        all,
    )
}

#[test]
fn the_rate_limit_is_the_servers_rate_plus_the_operators_allowance() {
    let spec = ColdSpec {
        cold_duration: 3 * SECOND,
        requests_per_s: 21.0,
    };

    let default_limit = spec.with_allowance(ColdAllowance::default());
    let raised_limit = spec.with_allowance(ColdAllowance {
        factor: 1.5,
        slack: 5.0,
    });

    assert!((default_limit.max_per_s - 21.0).abs() < 1e-9);
    assert!((raised_limit.max_per_s - 36.5).abs() < 1e-9);
}

/// The limit holds for deployments of every size: whatever the number of entries, the sum of their
/// shares stays within it and is never zero.
#[test]
fn the_shares_of_all_entries_stay_within_the_rate_limit() {
    for entries in [1, 2, 3, 5, 26, 103, 380] {
        let all = addresses(entries);
        for max_per_s in [0.3, 1.0, 2.0, 7.5, 36.5, 400.0] {
            for server in 0..2 {
                let shares = (0..entries).map(|own| share(server, max_per_s, 12, own, &all));
                let shares: Vec<_> = shares.collect();
                let most: usize = shares.iter().map(|share| share.sends()).sum();

                let spans_s = shares.iter().map(|share| share.window().as_secs_f64());
                assert!(most >= 1, "{entries} entries, {max_per_s} a second");
                // A share of less than one a second is one send in a longer window.
                let longest_window_s = spans_s.fold(1.0, f64::max);
                let most = f64::from(u32::try_from(most).unwrap());
                assert!(
                    most <= (max_per_s * longest_window_s).max(1.0),
                    "{entries} entries, {max_per_s} a second: {most} in {longest_window_s} s"
                );
            }
        }
    }
}

#[test]
fn a_rate_of_zero_allows_no_sends() {
    assert_eq!(share(0, 0.0, 4, 0, &addresses(1)), SendShare::NONE);
}

/// All servers of a service are cold. Each entry should have a share at one of them, as otherwise
/// all of its callers would be refused while those of others are served.
#[test]
fn nearly_every_entry_reaches_some_cold_server() {
    for (entries, servers) in [(26, 4), (26, 47), (103, 12), (380, 660)] {
        let all = addresses(entries);
        let reaches = |own: &usize| {
            (0..servers).any(|server| share(server, 36.5, servers, *own, &all).sends() > 0)
        };
        // A sample of the entries is enough.
        let sampled = entries.min(40);
        let reaching = (0..sampled).filter(reaches).count();

        assert!(
            reaching * 10 >= sampled * 8,
            "{reaching} of {sampled} entries reach one of {servers} servers"
        );
    }
}

/// Entries restart, as after a power failure. The list then has new incarnations at the same
/// addresses, which must not change any share.
#[test]
fn a_share_depends_on_addresses_only() {
    let all = addresses(26);
    let mut reversed = all.clone();
    reversed.reverse();

    for own in &all {
        let first = SendShare::of_entry(&server_incarnation(1), 36.5, 47, *own, &all);
        let second = SendShare::of_entry(&server_incarnation(1), 36.5, 47, *own, &reversed);
        assert_eq!(first, second);
    }
}

/// An entry with a queue for one cold server, which may be frozen for a while.
struct Entry {
    index: usize,
    /// Number of entries that it knows.
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

    /// Learns the number of entries.
    fn set_known(&mut self, server: &ServerIncarnation, max_per_s: f64, known: usize) {
        if self.known != known {
            let own = address(self.index);
            let all = addresses(known);
            self.share = SendShare::of_entry(server, max_per_s, 12, own, &all);
            self.known = known;
        }
    }

    /// Sends as many queued requests as its share allows; returns their number.
    fn send_queued(&mut self, server: &ServerIncarnation, now: Duration) -> usize {
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

/// Simulates entries that join and learn of each other late, freeze with full queues and restart,
/// all with more requests for one cold server than its limit. Returns the maximum sends in a
/// second.
fn most_in_a_second(seed: u64, entries: usize, max_per_s: f64) -> usize {
    let mut random = FixedRandom(seed);
    let server = server_incarnation(random.below(1_000));
    let mut now = 10 * SECOND;
    let initial = (0..entries).map(|index| Entry::new(index, now));
    let mut all: Vec<_> = initial.collect();
    for entry in &mut all {
        entry.set_known(&server, max_per_s, entries);
    }
    let mut sent_at: VecDeque<Duration> = VecDeque::new();
    let mut most = 0;
    for _ in 0..600 {
        now += Duration::from_millis(10);
        if random.below(50) == 0 && all.len() < entries * 3 / 2 {
            // It reads the list after its announcement; the others learn of it gradually.
            let index = all.len();
            all.push(Entry::new(index, now));
            all[index].set_known(&server, max_per_s, index + 1);
        }
        let count = all.len();
        let one = random.below(count);
        match random.below(200) {
            0..10 => all[one].frozen_until = now + Duration::from_millis(500),
            10 => {
                all[one] = Entry::new(one, now);
                all[one].set_known(&server, max_per_s, count);
            }
            11..60 => all[one].set_known(&server, max_per_s, count),
            _ => {}
        }
        for entry in &mut all {
            for _ in 0..entry.send_queued(&server, now) {
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
fn random_runs_stay_within_the_rate_limit() {
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

/// A server is chosen before the pieces are computed, and the request is sent after them. Both are
/// limited by the share, but choices alone do not use up the sends.
#[test]
fn choices_and_sends_are_counted_separately() {
    let share = SendShare::of_owner(4.0);
    let (server, now) = (server_incarnation(0), 10 * SECOND);
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

/// A server becomes cold without a restart. Requests sent in the second before it reported that
/// count: it must not get a whole share on top.
#[test]
fn requests_sent_before_a_server_became_cold_count() {
    let share = SendShare::of_owner(6.0);
    let (server, now) = (server_incarnation(0), 10 * SECOND);
    let mut sends = RecentSends::default();
    for _ in 0..2 {
        sends.record_send(&server, now);
    }

    assert!(sends.try_send(&server, share, now));
    assert!(!sends.try_send(&server, share, now));
    assert!(sends.try_send(&server, share, now + SECOND));
}

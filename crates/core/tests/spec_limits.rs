//! Exhaustive search over the event orders of a small model: two entries and a server that reports
//! a rate limit and later none.
//!
//! Entries send bursts, learn of the limit from the server's answers and from each other through
//! the store, and answers to earlier requests may arrive at any time. In every order, the entries
//! that know the limit must together stay within it in every window; and once it has ended and this
//! was published, no entry may be limited any more. Each guard is disabled in turn, and the search
//! must then find an order that violates one of these rules.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::ServerIncarnation;
use amaranthscale_core::process::{
    RecentSends, ReportedLimits, SendRateLimit, SendShare, ServerLimit,
};

const ENTRIES: usize = 2;
const DEPTH: usize = 18;
const STEP: Duration = Duration::from_millis(500);
/// Window in which the server counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Servers of its service; so many that each server is sent to by one entry only.
const SERVERS: usize = 6;
/// Reported limit; so low that only one of the two entries has a share.
const PER_S: &str = "1";
/// Maximum requests that may reach the server in a window.
const ALLOWED: usize = 11;
/// Requests in a burst.
const BURST: usize = 12;

#[derive(Clone, Copy)]
struct Guards {
    counts_sends: bool,
    ignores_late_answers: bool,
    publishes_ends: bool,
}

const ALL: Guards = Guards {
    counts_sends: true,
    ignores_late_answers: true,
    publishes_ends: true,
};

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The server's limit ends.
    End,
    /// An entry receives a burst of requests for the server.
    Burst(usize),
    /// An entry receives the answer to a request sent before the limit was reported.
    LateAnswer(usize),
    /// An entry publishes to the store.
    Publish(usize),
    /// An entry reads from the store.
    Read(usize),
    Wait,
}

#[derive(Clone)]
struct Entry {
    limits: ReportedLimits,
    sends: RecentSends,
}

#[derive(Clone)]
struct Model {
    guards: Guards,
    now: Duration,
    reported: Option<ServerLimit>,
    published: Option<ServerLimit>,
    /// Times of sends during the limit by entries that knew it.
    sent_at: Vec<Duration>,
    entries: Vec<Entry>,
}

fn server() -> ServerIncarnation {
    "a".parse().unwrap()
}

fn share(own: usize) -> SendShare {
    let all = (0..ENTRIES).map(|index| format!("10.0.0.{}:7740", index + 1).parse().unwrap());
    let all: Vec<SocketAddr> = all.collect();
    let limit: ServerLimit = PER_S.parse().unwrap();
    let bound = SendRateLimit::Limited {
        max_per_s: limit.per_s(),
    };
    bound.share_of_entry(&server(), SERVERS, all[own], &all)
}

impl Model {
    /// The server reports its limit, and both entries have just received it.
    fn new(guards: Guards) -> Self {
        let reported = Some(PER_S.parse().unwrap());
        let now = Duration::from_secs(10);
        let mut entry = Entry {
            limits: ReportedLimits::default(),
            sends: RecentSends::default(),
        };
        entry.limits.record_answer(&server(), reported, now, now);
        Self {
            guards,
            now: now + STEP,
            reported,
            published: None,
            sent_at: Vec::new(),
            entries: vec![entry; ENTRIES],
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::End => self.reported = None,
            Event::Burst(one) => return self.burst(one),
            Event::LateAnswer(one) => {
                let sent_at = if self.guards.ignores_late_answers {
                    Duration::ZERO
                } else {
                    self.now
                };
                let limits = &mut self.entries[one].limits;
                limits.record_answer(&server(), None, sent_at, self.now);
            }
            Event::Publish(one) => self.publish(one),
            Event::Read(one) => {
                let limits = &mut self.entries[one].limits;
                limits.apply_published(&server(), self.published, self.now);
            }
            Event::Wait => self.now += STEP,
        }
        Ok(())
    }

    fn publish(&mut self, one: usize) {
        let limits = &mut self.entries[one].limits;
        for (server, limit) in limits.unpublished() {
            if limit.is_none() && !self.guards.publishes_ends {
                continue;
            }
            self.published = limit;
            limits.mark_published(&server, limit);
        }
    }

    fn burst(&mut self, one: usize) -> Result<(), String> {
        let share = share(one);
        let mut sent = 0;
        for _ in 0..BURST {
            let entry = &mut self.entries[one];
            if entry.limits.limit(&server()).is_some() {
                let may_send = if self.guards.counts_sends {
                    entry.sends.try_send(&server(), share, self.now)
                } else {
                    entry.sends.can_send(&server(), share, self.now)
                };
                if !may_send {
                    break;
                }
            }
            sent += 1;
        }
        if self.reported.is_some() {
            self.sent_at.extend(std::iter::repeat_n(self.now, sent));
        }
        if sent > 0 {
            let limits = &mut self.entries[one].limits;
            limits.record_answer(&server(), self.reported, self.now, self.now);
        }
        let recent = self.sent_at.iter().filter(|at| **at + WINDOW > self.now);
        let recent = recent.count();
        if recent > ALLOWED {
            return Err(format!("{recent} requests in a window"));
        }
        Ok(())
    }

    /// After the limit has ended and all entries have sent, published and read, it applies to none.
    fn check_end(&self) -> Result<(), String> {
        if self.reported.is_some() {
            return Ok(());
        }
        let mut settled = self.clone();
        for _ in 0..2 {
            settled.now += 4 * WINDOW;
            for one in 0..ENTRIES {
                settled.burst(one)?;
                settled.publish(one);
            }
            for entry in &mut settled.entries {
                entry
                    .limits
                    .apply_published(&server(), settled.published, settled.now);
            }
        }
        let is_limited = |entry: &Entry| entry.limits.limit(&server()).is_some();
        if settled.entries.iter().any(is_limited) {
            return Err("a limit that has ended still applies to an entry".to_owned());
        }
        Ok(())
    }

    /// The state that later events depend on.
    fn key(&self) -> String {
        let entries = self.entries.iter().enumerate().map(|(one, entry)| {
            let next = entry.sends.next_choice_at(&server(), share(one), self.now);
            let next = next.map(|at| at.saturating_sub(self.now));
            (
                entry.limits.limit(&server()),
                entry.limits.unpublished(),
                next,
            )
        });
        let entries: Vec<_> = entries.collect();
        let recent = self.sent_at.iter();
        let recent = recent.map(|at| self.now.saturating_sub(*at));
        let recent: Vec<_> = recent.filter(|age| *age < WINDOW).collect();
        format!(
            "{:?} {:?} {entries:?} {recent:?}",
            self.reported, self.published
        )
    }
}

/// Searches all orders of events; returns the first violation, and the number of states visited.
fn search(guards: Guards) -> (Option<String>, usize) {
    let mut events = vec![Event::End, Event::Wait];
    for one in 0..ENTRIES {
        events.extend([
            Event::Burst(one),
            Event::LateAnswer(one),
            Event::Publish(one),
            Event::Read(one),
        ]);
    }
    let mut visited = BTreeSet::new();
    let mut open = vec![(Model::new(guards), Vec::new())];
    while let Some((model, path)) = open.pop() {
        if let Err(violation) = model.check_end() {
            return (Some(format!("{violation}: {path:?}")), visited.len());
        }
        if path.len() == DEPTH || !visited.insert((path.len(), model.key())) {
            continue;
        }
        for event in &events {
            let (mut next, mut path) = (model.clone(), path.clone());
            path.push(*event);
            if let Err(violation) = next.apply(*event) {
                return (Some(format!("{violation}: {path:?}")), visited.len());
            }
            open.push((next, path));
        }
    }
    (None, visited.len())
}

#[test]
fn no_order_of_events_violates_a_rule() {
    let (violation, visited) = search(ALL);

    assert_eq!(violation, None);
    assert!(visited > 2_000, "only {visited} states");
}

#[test]
fn without_counting_sends_a_burst_exceeds_the_limit() {
    let guards = Guards {
        counts_sends: false,
        ..ALL
    };
    let violation = search(guards).0.unwrap();
    assert!(violation.contains("in a window"), "{violation}");
}

#[test]
fn without_ignoring_late_answers_the_limit_is_exceeded() {
    let guards = Guards {
        ignores_late_answers: false,
        ..ALL
    };
    let violation = search(guards).0.unwrap();
    assert!(violation.contains("in a window"), "{violation}");
}

#[test]
fn without_publishing_its_end_a_limit_never_ends() {
    let guards = Guards {
        publishes_ends: false,
        ..ALL
    };
    let violation = search(guards).0.unwrap();
    assert!(violation.contains("still applies"), "{violation}");
}

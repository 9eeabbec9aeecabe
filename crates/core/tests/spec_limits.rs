//! Every order of events in a small world: two entries and a server that names a limit and later none.
//!
//! Entries send bursts, hear the server's word with its answers and each other's through the store,
//! late answers to earlier requests arrive at any time. What must hold in every order: those that have
//! heard of the limit keep within it together, in every span; and once it is over and words have been
//! told, everyone uses the server in full again. Each guard is switched off in turn, and the search
//! must then find an order that breaks a promise.

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
/// Span in which the server counts.
const SPAN: Duration = Duration::from_secs(4);
/// Servers of its service, so many that one entry is enough for each.
const SERVERS: usize = 6;
/// What the server names; slow enough that one of the two entries sends for both.
const PER_S: &str = "1";
/// Requests that may reach the server in a span.
const ALLOWED: usize = 11;
/// Requests of one burst.
const BURST: usize = 12;

#[derive(Clone, Copy)]
struct Guards {
    counts_sends: bool,
    late_answers_end_nothing: bool,
    ends_are_told: bool,
}

const ALL: Guards = Guards {
    counts_sends: true,
    late_answers_end_nothing: true,
    ends_are_told: true,
};

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The server names no limit any more.
    End,
    /// An entry has many requests for the server.
    Burst(usize),
    /// An answer arrives to a request that left before the limit.
    LateAnswer(usize),
    /// An entry tells the store what it heard.
    Tell(usize),
    /// An entry hears what the store says.
    Hear(usize),
    Pass,
}

#[derive(Clone)]
struct Entry {
    words: ReportedLimits,
    sends: RecentSends,
}

#[derive(Clone)]
struct World {
    guards: Guards,
    now: Duration,
    named: Option<ServerLimit>,
    stored: Option<ServerLimit>,
    /// Sends of entries that had heard of the limit while it was named.
    sent_at: Vec<Duration>,
    entries: Vec<Entry>,
}

fn life() -> ServerIncarnation {
    "a".parse().unwrap()
}

fn share(own: usize) -> SendShare {
    let all = (0..ENTRIES).map(|index| format!("10.0.0.{}:7740", index + 1).parse().unwrap());
    let all: Vec<SocketAddr> = all.collect();
    let limit: ServerLimit = PER_S.parse().unwrap();
    let bound = SendRateLimit::Limited {
        max_per_s: limit.per_s(),
    };
    bound.share_of_entry(&life(), SERVERS, all[own], &all)
}

impl World {
    /// The server names its limit, and both entries have just heard it.
    fn new(guards: Guards) -> Self {
        let named = Some(PER_S.parse().unwrap());
        let now = Duration::from_secs(10);
        let mut entry = Entry {
            words: ReportedLimits::default(),
            sends: RecentSends::default(),
        };
        entry.words.record_answer(&life(), named, now, now);
        Self {
            guards,
            now: now + STEP,
            named,
            stored: None,
            sent_at: Vec::new(),
            entries: vec![entry; ENTRIES],
        }
    }

    fn happen(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::End => self.named = None,
            Event::Burst(one) => return self.burst(one),
            Event::LateAnswer(one) => {
                let sent_at = if self.guards.late_answers_end_nothing {
                    Duration::ZERO
                } else {
                    self.now
                };
                let words = &mut self.entries[one].words;
                words.record_answer(&life(), None, sent_at, self.now);
            }
            Event::Tell(one) => self.tell(one),
            Event::Hear(one) => {
                let words = &mut self.entries[one].words;
                words.apply_published(&life(), self.stored, self.now);
            }
            Event::Pass => self.now += STEP,
        }
        Ok(())
    }

    fn tell(&mut self, one: usize) {
        let words = &mut self.entries[one].words;
        for (server, limit) in words.unpublished() {
            if limit.is_none() && !self.guards.ends_are_told {
                continue;
            }
            self.stored = limit;
            words.mark_published(&server, limit);
        }
    }

    fn burst(&mut self, one: usize) -> Result<(), String> {
        let share = share(one);
        let mut sent = 0;
        for _ in 0..BURST {
            let entry = &mut self.entries[one];
            if entry.words.limit(&life()).is_some() {
                let may_send = if self.guards.counts_sends {
                    entry.sends.try_send(&life(), share, self.now)
                } else {
                    entry.sends.can_send(&life(), share, self.now)
                };
                if !may_send {
                    break;
                }
            }
            sent += 1;
        }
        if self.named.is_some() {
            self.sent_at.extend(std::iter::repeat_n(self.now, sent));
        }
        if sent > 0 {
            let words = &mut self.entries[one].words;
            words.record_answer(&life(), self.named, self.now, self.now);
        }
        let recent = self.sent_at.iter().filter(|at| **at + SPAN > self.now);
        let recent = recent.count();
        if recent > ALLOWED {
            return Err(format!("{recent} requests in a span"));
        }
        Ok(())
    }

    /// Once the limit is over and all have sent, told and heard, it binds nobody.
    fn check_end(&self) -> Result<(), String> {
        if self.named.is_some() {
            return Ok(());
        }
        let mut calm = self.clone();
        for _ in 0..2 {
            calm.now += 4 * SPAN;
            for one in 0..ENTRIES {
                calm.burst(one)?;
                calm.tell(one);
            }
            for entry in &mut calm.entries {
                entry.words.apply_published(&life(), calm.stored, calm.now);
            }
        }
        let is_bound = |entry: &Entry| entry.words.limit(&life()).is_some();
        if calm.entries.iter().any(is_bound) {
            return Err("a limit that is over still binds an entry".to_owned());
        }
        Ok(())
    }

    /// What later events depend on.
    fn key(&self) -> String {
        let entries = self.entries.iter().enumerate().map(|(one, entry)| {
            let next = entry.sends.next_choice_at(&life(), share(one), self.now);
            let next = next.map(|at| at.saturating_sub(self.now));
            (entry.words.limit(&life()), entry.words.unpublished(), next)
        });
        let entries: Vec<_> = entries.collect();
        let recent = self.sent_at.iter();
        let recent = recent.map(|at| self.now.saturating_sub(*at));
        let recent: Vec<_> = recent.filter(|age| *age < SPAN).collect();
        format!("{:?} {:?} {entries:?} {recent:?}", self.named, self.stored)
    }
}

/// Searches all orders of events; the first that breaks a promise, and how many worlds were seen.
fn search(guards: Guards) -> (Option<String>, usize) {
    let mut events = vec![Event::End, Event::Pass];
    for one in 0..ENTRIES {
        events.extend([
            Event::Burst(one),
            Event::LateAnswer(one),
            Event::Tell(one),
            Event::Hear(one),
        ]);
    }
    let mut seen = BTreeSet::new();
    let mut open = vec![(World::new(guards), Vec::new())];
    while let Some((world, path)) = open.pop() {
        if let Err(broken) = world.check_end() {
            return (Some(format!("{broken}: {path:?}")), seen.len());
        }
        if path.len() == DEPTH || !seen.insert((path.len(), world.key())) {
            continue;
        }
        for event in &events {
            let (mut next, mut path) = (world.clone(), path.clone());
            path.push(*event);
            if let Err(broken) = next.happen(*event) {
                return (Some(format!("{broken}: {path:?}")), seen.len());
            }
            open.push((next, path));
        }
    }
    (None, seen.len())
}

#[test]
fn no_order_of_events_breaks_a_promise() {
    let (broken, seen) = search(ALL);

    assert_eq!(broken, None);
    assert!(seen > 2_000, "only {seen} worlds");
}

#[test]
fn without_counting_sends_a_burst_breaks_the_limit() {
    let guards = Guards {
        counts_sends: false,
        ..ALL
    };
    let broken = search(guards).0.unwrap();
    assert!(broken.contains("in a span"), "{broken}");
}

#[test]
fn with_late_answers_ending_it_a_limit_is_broken() {
    let guards = Guards {
        late_answers_end_nothing: false,
        ..ALL
    };
    let broken = search(guards).0.unwrap();
    assert!(broken.contains("in a span"), "{broken}");
}

#[test]
fn without_telling_its_end_a_limit_binds_for_good() {
    let guards = Guards {
        ends_are_told: false,
        ..ALL
    };
    let broken = search(guards).0.unwrap();
    assert!(broken.contains("still binds"), "{broken}");
}

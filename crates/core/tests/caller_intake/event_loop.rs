//! A simulated event loop that handles callers' requests in several passes.
//!
//! The loop handles one event at a time, in the order in which they became ready. A request needs
//! several passes, as its connection, the server's connection and both answers become ready one
//! after the other, so it waits for all other ready events several times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use amaranthscale_core::process::{CallerIntake, INTAKE_SAMPLE_INTERVAL};

/// Passes of a request through the loop.
const PASSES: u32 = 8;
/// Time between two passes, in which the network and the server work.
const PASS_INTERVAL: Duration = Duration::from_millis(3);
/// Time that closing a connection unread takes.
const CLOSE_TIME: Duration = Duration::from_micros(100);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sample,
    Connection,
    Pass { request: usize, left: u32 },
}

/// When a request that was read arrived and when its answer was sent.
#[derive(Debug, Clone, Copy)]
pub struct ReadRequest {
    pub arrived_at: Duration,
    pub answered_at: Option<Duration>,
}

impl ReadRequest {
    pub fn is_served(&self) -> bool {
        self.answered_at
            .is_some_and(|answered_at| answered_at <= self.arrived_at + CALLER_TIMEOUT)
    }
}

/// The requests that were read of those that arrive at a steady rate for a time, each on a new
/// connection, at a loop that completes `capacity_per_s` of them.
pub fn read_requests(capacity_per_s: u32, arriving_per_s: u32, time: Duration) -> Vec<ReadRequest> {
    let pass_time = Duration::from_secs(1) / (capacity_per_s * PASSES);
    let interval = Duration::from_secs(1) / arriving_per_s;
    let mut intake = CallerIntake::default();
    let mut requests: Vec<ReadRequest> = Vec::new();
    let mut events = BinaryHeap::new();
    events.push(Reverse((INTAKE_SAMPLE_INTERVAL, Event::Sample)));
    events.push(Reverse((interval, Event::Connection)));
    let mut now = Duration::ZERO;
    while let Some(Reverse((ready_at, event))) = events.pop() {
        now = now.max(ready_at);
        if now > time {
            break;
        }
        match event {
            Event::Sample => {
                intake.record_loop_delay(now.saturating_sub(ready_at), now);
                events.push(Reverse((now + INTAKE_SAMPLE_INTERVAL, event)));
            }
            Event::Connection => {
                events.push(Reverse((ready_at + interval, event)));
                if intake.takes_connection() {
                    now += pass_time;
                    let (request, left) = (requests.len(), PASSES - 1);
                    requests.push(ReadRequest {
                        arrived_at: ready_at,
                        answered_at: None,
                    });
                    events.push(Reverse((
                        now + PASS_INTERVAL,
                        Event::Pass { request, left },
                    )));
                } else {
                    now += CLOSE_TIME;
                }
            }
            Event::Pass { request, left } => {
                if now > requests[request].arrived_at + CALLER_TIMEOUT {
                    continue;
                }
                now += pass_time;
                if left == 1 {
                    requests[request].answered_at = Some(now);
                } else {
                    let next = Event::Pass {
                        request,
                        left: left - 1,
                    };
                    events.push(Reverse((now + PASS_INTERVAL, next)));
                }
            }
        }
    }
    requests
}

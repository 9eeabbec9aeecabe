//! Entries that get more new connections than they can serve.

use std::time::Duration;

use super::event_loop::read_requests;

/// Requests that the simulated entry completes in a second.
const CAPACITY_PER_S: u32 = 160;
const SIMULATED_TIME: Duration = Duration::from_secs(20);
/// Time within which the entry has to serve what it reads.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Guards against an overload that is noticed only once each request is late by most of its time.
#[test]
fn an_overloaded_entry_serves_three_quarters_of_what_it_reads() {
    for factor in [2, 4, 8] {
        let read = read_requests(CAPACITY_PER_S, CAPACITY_PER_S * factor, SIMULATED_TIME);

        let settled = read.iter().filter(|request| {
            request.arrived_at > SETTLE_TIME
                && request.arrived_at + Duration::from_secs(1) < SIMULATED_TIME
        });
        let settled: Vec<_> = settled.collect();
        let served = settled.iter().filter(|request| request.is_served()).count();
        assert!(
            served * 4 >= settled.len() * 3,
            "{served} of {} at {factor} times the capacity",
            settled.len()
        );
    }
}

/// Guards against an entry that closes connections it could serve.
#[test]
fn an_overloaded_entry_stays_busy() {
    for factor in [2, 4, 8] {
        let read = read_requests(CAPACITY_PER_S, CAPACITY_PER_S * factor, SIMULATED_TIME);

        let served = read.iter().filter(|request| {
            request.arrived_at > SETTLE_TIME
                && request.arrived_at <= SETTLE_TIME + Duration::from_secs(10)
                && request.is_served()
        });
        let served_per_s = served.count() / 10;
        let capacity_per_s = usize::try_from(CAPACITY_PER_S).unwrap();
        assert!(
            served_per_s * 4 >= capacity_per_s * 3,
            "{served_per_s} a second at {factor} times the capacity"
        );
    }
}

#[test]
fn an_entry_below_its_capacity_reads_all_requests() {
    let arriving_per_s = CAPACITY_PER_S * 4 / 5;

    let read = read_requests(CAPACITY_PER_S, arriving_per_s, SIMULATED_TIME);

    let arrived = SIMULATED_TIME.as_secs() * u64::from(arriving_per_s);
    let read = u64::try_from(read.len()).unwrap();
    assert!(read + 2 >= arrived, "{read} of {arrived}");
}

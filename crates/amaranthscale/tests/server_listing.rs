//! A gateway's listing of servers, built without a network.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::sync::Arc;
use std::time::Duration;

use amaranthscale::gateway::connection::CallsInFlight;
use amaranthscale::gateway::process::MovingRuns;
use amaranthscale::gateway::{ListingInputs, server_reports};
use amaranthscale::operator::ServerReport;
use amaranthscale_core::id::{RowVersion, ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    BegunMove, ColdLimits, MoveReason, SendEnd, ServerChange, ServerList, ServerRecord,
    ServerSelector, ZoneChange, ZoneState,
};

const NOW: Duration = Duration::from_secs(20);

fn record(id: &str) -> ServerRecord {
    ServerRecord {
        incarnation: id.parse().unwrap(),
        service: "scale".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

fn list_of(records: Vec<ServerRecord>) -> ServerList {
    let mut servers = ServerList::default();
    for record in records {
        servers.apply_change(ServerChange::Listed(record), NOW);
    }
    servers
}

fn reports(servers: &ServerList, selector: &ServerSelector) -> Vec<ServerReport> {
    let inputs = ListingInputs {
        cold_limits: |_: &ServiceId| {
            Some(ColdLimits {
                max_per_s: 3.0,
                cold_duration: Duration::from_secs(5),
            })
        },
        ejected_for: |server: &ServerIncarnation| selector.ejected_for(server, NOW),
        in_flight: |server: &ServerIncarnation| usize::from(server.id().as_str() == "free"),
    };
    server_reports(servers, &inputs, NOW)
}

fn record_send(selector: &mut ServerSelector, server: &str, end: SendEnd, now: Duration) {
    let server = server.parse().unwrap();
    selector.record_send(&server);
    selector.record_end(&server, end, Duration::ZERO, now);
}

fn report<'a>(reports: &'a [ServerReport], id: &str) -> &'a ServerReport {
    let mut found = reports.iter();
    found.find(|one| one.server.to_string() == id).unwrap()
}

/// Guards against a state that operators cannot tell from another one in the listing.
#[test]
fn each_state_is_listed_by_its_own_name_with_its_figures() {
    let mut servers = list_of(vec![
        record("free"),
        record("limited"),
        record("waits"),
        record("failing"),
        ServerRecord {
            is_leaving: true,
            ..record("leaves")
        },
        ServerRecord {
            cold_left: Some(Duration::from_secs(4)),
            ..record("cold")
        },
        ServerRecord {
            zone: "south".parse().unwrap(),
            ..record("evacuated")
        },
    ]);
    servers.set_limit(&"limited".parse().unwrap(), Some("1.5".parse().unwrap()));
    servers.record_backoff(&"waits".parse().unwrap(), NOW + Duration::from_secs(2), NOW);
    let south = ZoneChange {
        zone: "south".parse().unwrap(),
        state: Ok(ZoneState::Evacuated(RowVersion::new(1))),
    };
    servers.apply_zones(vec![south], false, NOW);
    let mut selector = ServerSelector::default();
    let failed_at = NOW.saturating_sub(Duration::from_millis(300));
    record_send(&mut selector, "failing", SendEnd::Unreachable, failed_at);

    let reports = reports(&servers, &selector);

    let state = |id: &str| report(&reports, id).state.clone();
    assert_eq!(reports.len(), 7);
    assert_eq!(state("free"), "free");
    assert_eq!(report(&reports, "free").in_flight, 1);
    assert_eq!(state("limited"), "limited");
    assert_eq!(report(&reports, "limited").max_per_s, Some(1.5));
    assert_eq!(state("waits"), "backing-off");
    assert_eq!(report(&reports, "waits").left_ms, Some(2_000));
    assert_eq!(state("failing"), "ejected");
    assert_eq!(report(&reports, "failing").ejected_for_ms, Some(300));
    assert_eq!(state("leaves"), "leaving");
    assert_eq!(state("cold"), "cold");
    assert_eq!(report(&reports, "cold").left_ms, Some(4_000));
    assert_eq!(state("evacuated"), "evacuated");
}

/// Guards against a server that is listed as ejected after it has answered again.
#[test]
fn a_readmitted_server_is_not_listed_as_ejected() {
    let servers = list_of(vec![record("failing")]);
    let mut selector = ServerSelector::default();
    record_send(&mut selector, "failing", SendEnd::Unreachable, NOW);

    record_send(&mut selector, "failing", SendEnd::Answered, NOW);

    assert_eq!(reports(&servers, &selector)[0].state, "free");
}

/// Guards against a call that is listed as in flight after its end, which would keep an operator
/// from stopping an idle server.
#[test]
fn a_call_counts_as_in_flight_until_its_guard_is_dropped() {
    let calls = Arc::<CallsInFlight>::default();
    let server = "stage".parse().unwrap();
    let first = calls.begin(&server);
    let second = calls.begin(&server);
    drop(first);
    let during = calls.count(&server);

    drop(second);

    assert_eq!((during, calls.count(&server)), (1, 0));
}

/// Guards against a move that stays listed after it has ended.
#[test]
fn a_run_is_listed_as_moving_until_its_guard_is_dropped() {
    let runs = Arc::<MovingRuns>::default();
    let (from, to): (ServerIncarnation, ServerIncarnation) =
        ("a".parse().unwrap(), "b".parse().unwrap());
    let begun = BegunMove {
        call: "c1".parse().unwrap(),
        from: from.clone(),
        to: to.clone(),
        reason: MoveReason::Leaving,
        began_at: NOW,
    };
    let guard = runs.try_begin(begun).unwrap();
    let during = runs.list(NOW + Duration::from_millis(40));

    drop(guard);

    assert_eq!(during[0].call.as_str(), "c1");
    assert_eq!((&during[0].from, &during[0].to), (&from, &to));
    assert_eq!(during[0].elapsed_ms, 40);
    assert!(runs.list(NOW).is_empty());
}

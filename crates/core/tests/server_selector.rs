//! Selection of the backend server of a direct request.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ZoneId};
use amaranthscale_core::process::{
    ConnectionShare, HealthChange, LoadSnapshot, OptionalNumber, SendEnd, SendingEntry, ServerLoad,
    ServerRecord, ServerSelector, UsableServers,
};

const NOW: Duration = Duration::from_secs(100);

fn server(name: &str, zone: &str) -> ServerRecord {
    ServerRecord {
        incarnation: name.parse().unwrap(),
        service: "scale".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 4,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

fn servers(count: usize) -> Vec<ServerRecord> {
    (0..count)
        .map(|index| server(&format!("s{index}"), "north"))
        .collect()
}

fn north() -> ZoneId {
    "north".parse().unwrap()
}

fn entry(zone: &ZoneId) -> SendingEntry<'_> {
    SendingEntry::new(&"g0".parse().unwrap(), zone, ConnectionShare::UNLIMITED)
}

fn plain(selector: &ServerSelector, servers: &[ServerRecord], now: Duration) -> ServerIncarnation {
    let chosen = selector.select_plain(
        servers.iter().collect(),
        &BTreeSet::new(),
        entry(&north()),
        now,
    );
    chosen.unwrap().incarnation.clone()
}

fn engine(selector: &ServerSelector, servers: &[ServerRecord], part: &str) -> ServerIncarnation {
    let chosen = selector.select_engine(servers.iter().collect(), &BTreeSet::new(), part, NOW);
    chosen.unwrap().incarnation.clone()
}

/// The log shows the load that a selection was based on.
#[test]
fn a_load_snapshot_has_own_requests_and_the_reported_load_with_its_age() {
    let server: ServerIncarnation = "s0".parse().unwrap();
    let mut selector = ServerSelector::default();
    assert_eq!(
        selector.load_snapshot(&server, NOW),
        LoadSnapshot::default()
    );
    let load = ServerLoad {
        running: 4,
        waiting: 3,
        slots: 4,
    };
    selector.record_send(&server);
    selector.record_load(&server, load, NOW);
    selector.record_work_percent(&server, Some(130));

    let seen = selector.load_snapshot(&server, NOW + Duration::from_millis(120));

    assert_eq!(seen.in_flight, 1);
    assert_eq!(seen.reported, OptionalNumber(Some(7)));
    assert_eq!(seen.reported_age_ms, OptionalNumber(Some(120)));
    assert_eq!(seen.host_percent, OptionalNumber(Some(130)));
    // A later report without the figure does not keep an earlier one.
    selector.record_work_percent(&server, None);
    let seen = selector.load_snapshot(&server, NOW);
    assert_eq!(seen.host_percent, OptionalNumber(None));
    assert_eq!(OptionalNumber(None).to_string(), "-");
}

fn fail(selector: &mut ServerSelector, server: &ServerIncarnation, times: usize) {
    for _ in 0..times {
        selector.record_send(server);
        selector.record_end(server, SendEnd::Failed, Duration::ZERO, NOW);
    }
}

#[test]
fn idle_servers_of_the_own_zone_are_preferred() {
    let selector = ServerSelector::default();
    let servers = [server("far", "south"), server("near", "north")];

    assert_eq!(plain(&selector, &servers, NOW).to_string(), "near");
}

#[test]
fn requests_in_flight_spread_over_the_servers() {
    let mut selector = ServerSelector::default();
    let servers = servers(4);

    for _ in 0..20 {
        let chosen = plain(&selector, &servers, NOW);
        selector.record_send(&chosen);
    }

    let in_flight = servers
        .iter()
        .map(|server| selector.in_flight(&server.incarnation));
    assert_eq!(in_flight.collect::<Vec<_>>(), [5, 5, 5, 5]);
}

#[test]
fn a_server_that_reports_a_queue_is_avoided() {
    let mut selector = ServerSelector::default();
    let servers = servers(2);
    let load = ServerLoad {
        running: 4,
        waiting: 8,
        slots: 4,
    };

    let first = plain(&selector, &servers, NOW);
    selector.record_load(&first, load, NOW);

    assert_ne!(plain(&selector, &servers, NOW), first);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(plain(&selector, &servers, later), first);
}

/// A server resets every connection while its health check succeeds. Without being ejected it would
/// look idle and attract all requests.
#[test]
fn a_server_that_fails_twice_in_a_row_is_ejected_for_a_while() {
    let mut selector = ServerSelector::default();
    let servers = servers(3);

    let first = plain(&selector, &servers, NOW);
    fail(&mut selector, &first, 2);

    assert_ne!(plain(&selector, &servers, NOW), first);
    let later = NOW + Duration::from_secs(7);
    assert_eq!(plain(&selector, &servers, later), first);
}

#[test]
fn ejection_and_readmission_are_each_reported_once() {
    let mut selector = ServerSelector::default();
    let server = &servers(1)[0].incarnation;
    let mut end = |end| {
        selector.record_send(server);
        selector.record_end(server, end, Duration::ZERO, NOW)
    };

    let changes = [
        end(SendEnd::Failed),
        end(SendEnd::Failed),
        end(SendEnd::Failed),
        end(SendEnd::Answered),
        end(SendEnd::Answered),
    ];

    let (ejected, readmitted) = (Some(HealthChange::Ejected), Some(HealthChange::Readmitted));
    assert_eq!(changes, [None, ejected, None, readmitted, None]);
}

#[test]
fn all_servers_are_used_when_most_fail() {
    let mut selector = ServerSelector::default();
    let servers = servers(3);
    fail(&mut selector, &servers[0].incarnation, 2);
    fail(&mut selector, &servers[1].incarnation, 2);

    let tried = BTreeSet::from([servers[2].incarnation.clone()]);
    let chosen = selector.select_plain(servers.iter().collect(), &tried, entry(&north()), NOW);

    assert!(chosen.is_some());
}

#[test]
fn all_gateways_send_requests_of_one_prompt_to_one_engine() {
    let (one, other) = (ServerSelector::default(), ServerSelector::default());
    let servers = servers(9);
    let mut reversed = servers.clone();
    reversed.reverse();

    for part in ["5c1e07a2", "91bd3f06", "e4402b7d"] {
        assert_eq!(
            engine(&one, &servers, part),
            engine(&other, &reversed, part)
        );
    }
}

/// A quarter of all requests has the same prompt. A single engine would queue them while the others
/// are idle.
#[test]
fn a_popular_prompt_spreads_to_more_engines() {
    let mut selector = ServerSelector::default();
    let servers = servers(9);

    for _ in 0..90 {
        let chosen = engine(&selector, &servers, "hot");
        selector.record_send(&chosen);
    }

    let most = servers
        .iter()
        .map(|server| selector.in_flight(&server.incarnation))
        .max();
    assert!(most.unwrap() <= 20, "{most:?}");
}

#[test]
fn a_lost_engine_moves_only_its_own_prompts() {
    let selector = ServerSelector::default();
    let servers = servers(9);
    let parts: Vec<_> = (0..100).map(|part| format!("part-{part}")).collect();
    let before: Vec<_> = parts
        .iter()
        .map(|part| engine(&selector, &servers, part))
        .collect();

    let remaining = &servers[1..];
    let moved = parts.iter().zip(&before).filter(|(part, before)| {
        **before != servers[0].incarnation && engine(&selector, remaining, part) != **before
    });

    assert_eq!(moved.count(), 0);
}

/// A prompt has more requests than others, and its engine has most of its slots free. On another
/// engine, the shared part of the prompt would be processed again, which takes seconds.
#[test]
fn an_engine_with_free_slots_keeps_its_prompt() {
    let servers: Vec<_> = servers(3)
        .into_iter()
        .map(|server| ServerRecord {
            slots: 100,
            ..server
        })
        .collect();
    let mut selector = ServerSelector::default();
    let first = engine(&selector, &servers, "part");

    for _ in 0..60 {
        selector.record_send(&first);
    }

    assert_eq!(engine(&selector, &servers, "part"), first);
}

/// Other gateways have filled the engine. Its load reported a second ago shows that, although this
/// gateway has few requests there; further requests would wait behind the others.
#[test]
fn an_engine_that_reports_it_is_full_loses_its_prompt() {
    let servers = servers(3);
    let mut selector = ServerSelector::default();
    let first = engine(&selector, &servers, "part");
    let load = ServerLoad {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    selector.record_load(
        &first,
        load,
        NOW.checked_sub(Duration::from_secs(1)).unwrap(),
    );
    for _ in 0..5 {
        selector.record_send(&first);
    }

    assert_ne!(engine(&selector, &servers, "part"), first);
}

/// With hundreds of servers a gateway rarely uses the same one twice. One that accepts no
/// connection is ejected after the first failure, and tried again soon.
#[test]
fn an_unreachable_server_is_ejected_at_once() {
    let servers = servers(4);
    let mut selector = ServerSelector::default();
    let first = engine(&selector, &servers, "part");

    selector.record_send(&first);
    let change = selector.record_end(&first, SendEnd::Unreachable, Duration::ZERO, NOW);

    assert_eq!(change, Some(HealthChange::Ejected));
    assert_ne!(engine(&selector, &servers, "part"), first);
    let later = NOW + Duration::from_secs(1);
    let none = BTreeSet::new();
    let chosen = selector
        .select_engine(servers.iter().collect(), &none, "part", later)
        .unwrap();
    assert_eq!(chosen.incarnation, first);
}

/// A zone is taken back with cold servers while others are warm. Selected by affinity or a short
/// queue, a cold server would delay requests, so it is used only when the others are full.
#[test]
fn a_cold_server_is_used_only_when_the_others_are_full() {
    let servers = servers(2);
    let usable = || UsableServers {
        free: vec![&servers[0]],
        cold: vec![&servers[1]],
    };
    let none = BTreeSet::new();
    let full = ServerLoad {
        running: 4,
        waiting: 1,
        slots: 4,
    };
    let mut selector = ServerSelector::default();
    let chosen = |selector: &ServerSelector| {
        let plain = selector
            .select_plain(usable(), &none, entry(&north()), NOW)
            .unwrap();
        let engines = (0..8).map(|part| {
            let engine = selector.select_engine(usable(), &none, &format!("part-{part}"), NOW);
            engine.unwrap().incarnation.clone()
        });
        (plain.incarnation.clone(), engines.collect::<Vec<_>>())
    };

    let (plain, engines) = chosen(&selector);
    assert_eq!(plain, servers[0].incarnation);
    assert!(
        engines
            .iter()
            .all(|incarnation| *incarnation == servers[0].incarnation)
    );

    selector.record_load(&servers[0].incarnation, full, NOW);
    let (plain, engines) = chosen(&selector);
    assert_eq!(plain, servers[1].incarnation);
    assert!(
        engines
            .iter()
            .all(|incarnation| *incarnation == servers[1].incarnation)
    );
}

#[test]
fn a_full_server_is_used_after_the_cold_ones_were_tried() {
    let servers = servers(2);
    let tried = BTreeSet::from([servers[1].incarnation.clone()]);
    let mut selector = ServerSelector::default();
    let full = ServerLoad {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    selector.record_load(&servers[0].incarnation, full, NOW);
    let usable = UsableServers {
        free: vec![&servers[0]],
        cold: vec![&servers[1]],
    };

    let chosen = selector.select_plain(usable, &tried, entry(&north()), NOW);

    assert_eq!(chosen.unwrap().incarnation, servers[0].incarnation);
}

/// Many callers send large bodies at once. A server crashes if those that it holds exceed its
/// memory, so they are not all sent to one; a single large body is.
#[test]
fn bodies_at_a_server_are_bounded() {
    let mut selector = ServerSelector::default();
    let server: ServerIncarnation = "a".parse().unwrap();

    let alone = selector.may_take_body(&server, 900, 100);
    selector.record_body_sent(&server, 60);
    let small = selector.may_take_body(&server, 40, 100);
    let large = selector.may_take_body(&server, 41, 100);
    let none = selector.may_take_body(&server, 0, 100);
    selector.record_body_done(&server, 60);
    let after = selector.may_take_body(&server, 900, 100);

    assert_eq!(
        [alone, small, large, none, after],
        [true, true, false, true, true]
    );
}

/// Guards against a server that is overloaded again by all that it turned away, as soon as its
/// backoff ends.
#[test]
fn a_server_gets_few_requests_at_first_after_a_backoff() {
    let (mut selector, servers) = (ServerSelector::default(), servers(1));
    let server = &servers[0].incarnation;
    for _ in 0..8 {
        selector.record_send(server);
    }
    let end = Duration::from_secs(3);
    selector.record_backoff(server, end);
    for _ in 0..8 {
        selector.record_end(server, SendEnd::Answered, Duration::ZERO, Duration::ZERO);
    }
    let fill = |selector: &mut ServerSelector, now| {
        let zone = north();
        let usable = || servers.iter().collect();
        let mut sent = 0;
        while sent < 100
            && selector
                .select_plain(usable(), &BTreeSet::new(), entry(&zone), now)
                .is_some()
        {
            selector.record_send(server);
            sent += 1;
        }
        for _ in 0..sent {
            selector.record_accepted(server, now);
            selector.record_end(server, SendEnd::Answered, Duration::ZERO, now);
        }
        sent
    };

    let rounds: Vec<_> = (0..6).map(|_| fill(&mut selector, end)).collect();
    let later = fill(&mut selector, end + Duration::from_secs(10));

    assert_eq!(rounds, [1, 2, 4, 5, 6, 7]);
    assert_eq!(later, 100, "nothing was turned away for ten seconds");
}

//! Which backend server a direct request is sent to.

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

fn plain(choice: &ServerSelector, servers: &[ServerRecord], now: Duration) -> ServerIncarnation {
    let chosen = choice.select_plain(
        servers.iter().collect(),
        &BTreeSet::new(),
        entry(&north()),
        now,
    );
    chosen.unwrap().incarnation.clone()
}

fn engine(choice: &ServerSelector, servers: &[ServerRecord], part: &str) -> ServerIncarnation {
    let chosen = choice.select_engine(servers.iter().collect(), &BTreeSet::new(), part, NOW);
    chosen.unwrap().incarnation.clone()
}

/// What a choice was made by is written to the log, and must be what the choice saw.
#[test]
fn the_load_that_is_seen_is_ours_and_what_was_told_with_its_age() {
    let server: ServerIncarnation = "s0".parse().unwrap();
    let mut choice = ServerSelector::default();
    assert_eq!(choice.load_snapshot(&server, NOW), LoadSnapshot::default());
    let load = ServerLoad {
        running: 4,
        waiting: 3,
        slots: 4,
    };
    choice.record_send(&server);
    choice.record_load(&server, load, NOW);

    let seen = choice.load_snapshot(&server, NOW + Duration::from_millis(120));

    assert_eq!(seen.in_flight, 1);
    assert_eq!(seen.reported, OptionalNumber(Some(7)));
    assert_eq!(seen.reported_age_ms, OptionalNumber(Some(120)));
    assert_eq!(OptionalNumber(None).to_string(), "-");
}

fn fail(choice: &mut ServerSelector, server: &ServerIncarnation, times: usize) {
    for _ in 0..times {
        choice.record_send(server);
        choice.record_end(server, SendEnd::Failed, Duration::ZERO, NOW);
    }
}

#[test]
fn idle_servers_of_the_own_zone_go_first() {
    let choice = ServerSelector::default();
    let servers = [server("far", "south"), server("near", "north")];

    assert_eq!(plain(&choice, &servers, NOW).to_string(), "near");
}

#[test]
fn requests_in_flight_spread_over_the_servers() {
    let mut choice = ServerSelector::default();
    let servers = servers(4);

    for _ in 0..20 {
        let chosen = plain(&choice, &servers, NOW);
        choice.record_send(&chosen);
    }

    let in_flight = servers
        .iter()
        .map(|server| choice.in_flight(&server.incarnation));
    assert_eq!(in_flight.collect::<Vec<_>>(), [5, 5, 5, 5]);
}

#[test]
fn a_server_that_tells_a_queue_is_left_to_others() {
    let mut choice = ServerSelector::default();
    let servers = servers(2);
    let load = ServerLoad {
        running: 4,
        waiting: 8,
        slots: 4,
    };

    let first = plain(&choice, &servers, NOW);
    choice.record_load(&first, load, NOW);

    assert_ne!(plain(&choice, &servers, NOW), first);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(plain(&choice, &servers, later), first);
}

/// A server resets every connection while its health check is good. Without being left out it would
/// look idle and draw all requests.
#[test]
fn a_server_that_fails_twice_in_a_row_is_left_out_for_a_while() {
    let mut choice = ServerSelector::default();
    let servers = servers(3);

    let first = plain(&choice, &servers, NOW);
    fail(&mut choice, &first, 2);

    assert_ne!(plain(&choice, &servers, NOW), first);
    let later = NOW + Duration::from_secs(7);
    assert_eq!(plain(&choice, &servers, later), first);
}

#[test]
fn being_left_out_and_taken_back_is_told_once() {
    let mut choice = ServerSelector::default();
    let server = &servers(1)[0].incarnation;
    let mut end = |end| {
        choice.record_send(server);
        choice.record_end(server, end, Duration::ZERO, NOW)
    };

    let changes = [
        end(SendEnd::Failed),
        end(SendEnd::Failed),
        end(SendEnd::Failed),
        end(SendEnd::Answered),
        end(SendEnd::Answered),
    ];

    let (out, back) = (Some(HealthChange::Ejected), Some(HealthChange::Readmitted));
    assert_eq!(changes, [None, out, None, back, None]);
}

#[test]
fn when_most_servers_fail_all_are_used() {
    let mut choice = ServerSelector::default();
    let servers = servers(3);
    fail(&mut choice, &servers[0].incarnation, 2);
    fail(&mut choice, &servers[1].incarnation, 2);

    let tried = BTreeSet::from([servers[2].incarnation.clone()]);
    let chosen = choice.select_plain(servers.iter().collect(), &tried, entry(&north()), NOW);

    assert!(chosen.is_some());
}

#[test]
fn requests_of_one_prompt_go_to_one_engine_from_every_gateway() {
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

/// One subject draws a quarter of all requests. Its engine alone would hold them all up while the
/// others are idle.
#[test]
fn a_prompt_in_demand_spreads_to_further_engines() {
    let mut choice = ServerSelector::default();
    let servers = servers(9);

    for _ in 0..90 {
        let chosen = engine(&choice, &servers, "hot");
        choice.record_send(&chosen);
    }

    let most = servers
        .iter()
        .map(|server| choice.in_flight(&server.incarnation))
        .max();
    assert!(most.unwrap() <= 20, "{most:?}");
}

#[test]
fn a_lost_engine_moves_only_its_own_prompts() {
    let choice = ServerSelector::default();
    let servers = servers(9);
    let parts: Vec<_> = (0..100).map(|part| format!("part-{part}")).collect();
    let before: Vec<_> = parts
        .iter()
        .map(|part| engine(&choice, &servers, part))
        .collect();

    let left = &servers[1..];
    let moved = parts.iter().zip(&before).filter(|(part, before)| {
        **before != servers[0].incarnation && engine(&choice, left, part) != **before
    });

    assert_eq!(moved.count(), 0);
}

/// A prompt's requests come faster than others', and its engine has most of its slots free. Sent
/// elsewhere, each would have the shared part read anew, seconds of an engine's time for nothing.
#[test]
fn an_engine_with_place_keeps_its_prompt() {
    let servers: Vec<_> = servers(3)
        .into_iter()
        .map(|server| ServerRecord {
            slots: 100,
            ..server
        })
        .collect();
    let mut choice = ServerSelector::default();
    let first = engine(&choice, &servers, "part");

    for _ in 0..60 {
        choice.record_send(&first);
    }

    assert_eq!(engine(&choice, &servers, "part"), first);
}

/// Other gateways have filled the engine. What it told a second ago says so, though this gateway
/// has few requests there: sent on, they would wait behind the others.
#[test]
fn an_engine_that_tells_it_is_full_gives_its_prompt_away() {
    let servers = servers(3);
    let mut choice = ServerSelector::default();
    let first = engine(&choice, &servers, "part");
    let load = ServerLoad {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    choice.record_load(
        &first,
        load,
        NOW.checked_sub(Duration::from_secs(1)).unwrap(),
    );
    for _ in 0..5 {
        choice.record_send(&first);
    }

    assert_ne!(engine(&choice, &servers, "part"), first);
}

/// Before hundreds of servers a gateway seldom meets the same one twice. One that takes no connection
/// is left out at the first sign, and tried again soon.
#[test]
fn a_server_that_is_not_reached_is_left_out_at_once() {
    let servers = servers(4);
    let mut choice = ServerSelector::default();
    let first = engine(&choice, &servers, "part");

    choice.record_send(&first);
    let change = choice.record_end(&first, SendEnd::Unreachable, Duration::ZERO, NOW);

    assert_eq!(change, Some(HealthChange::Ejected));
    assert_ne!(engine(&choice, &servers, "part"), first);
    let later = NOW + Duration::from_secs(1);
    let none = BTreeSet::new();
    let chosen = choice
        .select_engine(servers.iter().collect(), &none, "part", later)
        .unwrap();
    assert_eq!(chosen.incarnation, first);
}

/// A zone comes back cold beside warm ones. Called there by affinity or by a short queue, requests
/// would wait for a slow server; it is used only once the others have no place.
#[test]
fn a_cold_server_is_used_where_no_other_has_place() {
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
    let mut choice = ServerSelector::default();
    let chosen = |choice: &ServerSelector| {
        let plain = choice
            .select_plain(usable(), &none, entry(&north()), NOW)
            .unwrap();
        let engines = (0..8).map(|part| {
            let engine = choice.select_engine(usable(), &none, &format!("part-{part}"), NOW);
            engine.unwrap().incarnation.clone()
        });
        (plain.incarnation.clone(), engines.collect::<Vec<_>>())
    };

    let (plain, engines) = chosen(&choice);
    assert_eq!(plain, servers[0].incarnation);
    assert!(engines.iter().all(|life| *life == servers[0].incarnation));

    choice.record_load(&servers[0].incarnation, full, NOW);
    let (plain, engines) = chosen(&choice);
    assert_eq!(plain, servers[1].incarnation);
    assert!(engines.iter().all(|life| *life == servers[1].incarnation));
}

#[test]
fn a_full_server_is_used_where_the_cold_ones_were_tried() {
    let servers = servers(2);
    let tried = BTreeSet::from([servers[1].incarnation.clone()]);
    let mut choice = ServerSelector::default();
    let full = ServerLoad {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    choice.record_load(&servers[0].incarnation, full, NOW);
    let usable = UsableServers {
        free: vec![&servers[0]],
        cold: vec![&servers[1]],
    };

    let chosen = choice.select_plain(usable, &tried, entry(&north()), NOW);

    assert_eq!(chosen.unwrap().incarnation, servers[0].incarnation);
}

//! Partitioning of the stage servers and requests of a large deployment into cells.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::id::{CallId, InstanceId, RowVersion};
use amaranthscale_core::process::{Announcement, Cell, InstanceView, ServerRecord};

const SERVICES: [&str; 2] = ["encode", "rerank"];

fn server(service: &str, index: usize) -> ServerRecord {
    ServerRecord {
        incarnation: format!("{service}-{index}").parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 1,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

fn servers(of_each: usize) -> Vec<ServerRecord> {
    let of_service = |service: &&str| {
        let service = (*service).to_owned();
        (0..of_each).map(move |index| server(&service, index))
    };
    SERVICES.iter().flat_map(of_service).collect()
}

fn call(number: usize) -> CallId {
    format!("call-{number}").parse().unwrap()
}

/// All cells that a thousand calls are assigned to.
fn cells(of: u32) -> BTreeSet<Cell> {
    (0..1_000)
        .map(|number| Cell::of_call(&call(number), of))
        .collect()
}

fn instance(number: usize) -> InstanceId {
    format!("g{number}").parse().unwrap()
}

/// A view of a number of equal entries, the first of which is its own.
fn view(entries: usize) -> InstanceView {
    let announcement = |number: usize| Announcement {
        address: format!("10.0.{}.{}:7000", number / 250, number % 250)
            .parse()
            .unwrap(),
        millicores: 200,
        zone: None,
    };
    let mut view = InstanceView::new(instance(0), announcement(0));
    for number in 0..entries {
        let since = RowVersion::new(u64::try_from(number).unwrap() + 1);
        view.announced(instance(number), announcement(number), since);
    }
    view
}

#[test]
fn a_deployment_of_fifty_servers_is_one_cell() {
    assert_eq!(Cell::count([19, 15, 16]), 1);
    assert_eq!(Cell::count([]), 1);
    assert_eq!(cells(1), BTreeSet::from([Cell::SINGLE]));
}

/// A deployment grows to thousands of servers. A single owner of all batches used up its processor
/// and a third of all requests was not served, so the work must be partitioned.
#[test]
fn a_deployment_of_thousands_has_a_power_of_two_cells() {
    assert_eq!(Cell::count([540, 530, 530]), 8);
    assert_eq!(Cell::count([200, 200]), 2);
    assert_eq!(Cell::count([1_000_000, 1_000_000]), 64);
}

/// One stage has few servers. With as many cells as the others allow, some cells would have none of
/// them and refuse every request.
#[test]
fn a_stage_with_few_servers_limits_the_number_of_cells() {
    assert_eq!(Cell::count([1_000, 1_000, 9]), 2);
    assert_eq!(Cell::count([1_000, 1_000, 3]), 1);
}

#[test]
fn each_server_is_in_one_cell_and_cells_have_similar_sizes() {
    let servers = servers(100);
    let mut seen = BTreeSet::new();

    for cell in cells(8) {
        let own = cell.servers(servers.iter());
        let mut of_service: BTreeMap<&str, usize> = BTreeMap::new();
        for server in own {
            assert!(
                seen.insert(server.incarnation.clone()),
                "{} is in two",
                server.incarnation
            );
            *of_service.entry(server.service.as_str()).or_default() += 1;
        }
        assert!(of_service.values().all(|count| (9..=13).contains(count)));
    }

    assert_eq!(seen.len(), servers.len());
}

/// Servers crash frequently. If each crash changed the whole partition, owners would share most of
/// the servers, and their records of queues and storage would be useless.
#[test]
fn few_servers_move_when_one_is_removed() {
    let before = servers(100);
    let after: Vec<_> = before.iter().skip(1).cloned().collect();
    let mut moved = 0;

    for cell in cells(8) {
        let ids = |servers: &[ServerRecord]| -> BTreeSet<_> {
            let own = cell.servers(servers.iter());
            own.into_iter()
                .map(|server| server.incarnation.clone())
                .collect()
        };
        moved += ids(&after).difference(&ids(&before)).count();
    }

    assert!(moved <= 8, "{moved} of 199 servers moved");
}

#[test]
fn cells_have_different_owners() {
    let view = view(200);

    let owners: BTreeSet<_> = cells(8)
        .into_iter()
        .map(|cell| view.owner(cell, Duration::ZERO).0.clone())
        .collect();

    assert!(owners.len() >= 7, "{owners:?}");
}

/// One owner becomes unresponsive. Only its cell may move: the work in progress of every cell that
/// moves is lost.
#[test]
fn only_the_cells_of_an_unresponsive_owner_move() {
    let mut view = view(200);
    let cells = cells(8);
    let owner = |view: &InstanceView, cell: &Cell| view.owner(*cell, Duration::ZERO).0.clone();
    let before: Vec<_> = cells.iter().map(|cell| owner(&view, cell)).collect();

    view.mark_unresponsive(&before[0], Duration::ZERO);

    for (cell, before_it) in cells.iter().zip(&before) {
        let moves = owner(&view, cell) != *before_it;
        assert_eq!(moves, *before_it == before[0]);
    }
}

/// A peer of another version, or an unknown program, sends an impossible cell.
#[test]
fn impossible_cells_are_detected() {
    let read = |text: &str| serde_json::from_str::<Cell>(text).unwrap();

    assert!(Cell::SINGLE.is_well_formed());
    assert!(read(r#"{"index":7,"of":8}"#).is_well_formed());
    assert!(!read(r#"{"index":8,"of":8}"#).is_well_formed());
    assert!(!read(r#"{"index":0,"of":0}"#).is_well_formed());
    assert!(!read(r#"{"index":0,"of":4000000000}"#).is_well_formed());
}

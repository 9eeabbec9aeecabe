//! Each entry's view of the others: owner of the batches and reader of the store.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{InstanceId, RowVersion};
use amaranthscale_core::process::{Announcement, Cell, InstanceView, StoreReader};

const SECOND: Duration = Duration::from_secs(1);

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn announcement(port: u16) -> Announcement {
    Announcement {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        millicores: 190,
        zone: None,
    }
}

fn view(own: &str, port: u16) -> InstanceView {
    InstanceView::new(id(own), announcement(port))
}

fn announce(view: &mut InstanceView, name: &str, port: u16, since: u64) {
    view.announced(id(name), announcement(port), RowVersion::new(since));
}

fn owner(view: &InstanceView, now: Duration) -> String {
    view.owner(Cell::SINGLE, now).0.to_string()
}

#[test]
fn a_single_entry_is_the_owner() {
    let view = view("a", 1);

    assert_eq!(owner(&view, SECOND), "a");
}

#[test]
fn all_entries_select_the_first_announced_as_owner() {
    let mut views = [view("a", 1), view("b", 2), view("c", 3)];
    for view in &mut views {
        announce(view, "c", 3, 11);
        announce(view, "a", 1, 12);
        announce(view, "b", 2, 13);
    }

    let owners = views.each_ref().map(|view| owner(view, SECOND));

    assert_eq!(owners, ["c", "c", "c"]);
}

/// Entries are restarted one after the other. If each joining entry took over the batches, two
/// entries would send batches concurrently for seconds at every restart.
#[test]
fn a_joining_entry_takes_nothing_over() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);

    announce(&mut view, "0-first-by-name", 2, 20);

    assert_eq!(owner(&view, SECOND), "a");
}

#[test]
fn an_entry_on_a_host_with_more_cpu_is_preferred() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);
    let strong = Announcement {
        millicores: 500,
        zone: None,
        ..announcement(2)
    };

    view.announced(id("b"), strong, RowVersion::new(20));

    assert_eq!(owner(&view, SECOND), "b");
}

#[test]
fn an_unresponsive_entry_is_skipped_and_tried_again_later() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);

    view.mark_unresponsive(&id("a"), SECOND);

    assert_eq!(owner(&view, 2 * SECOND), "b");
    assert_eq!(view.live_count(2 * SECOND), 1);
    assert_eq!(owner(&view, 5 * SECOND), "a");
}

/// An owner stays frozen for longer than it is skipped. Trying it again with requests would delay
/// them, so it is listed as unresponsive until then and can be probed first.
#[test]
fn skipped_entries_are_listed_until_they_are_tried_again() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    assert!(view.unresponsive(SECOND).is_empty());

    view.mark_unresponsive(&id("a"), SECOND);
    let listed = view.unresponsive(2 * SECOND);
    view.mark_unresponsive(&id("a"), 2 * SECOND);

    assert_eq!(listed, [(id("a"), announcement(1).address)]);
    assert_eq!(
        owner(&view, 4 * SECOND),
        "b",
        "a missing answer extends the time"
    );
    assert!(view.unresponsive(5 * SECOND).is_empty());
}

/// The owner freezes for some seconds, and the next entry takes its place. If the old owner took
/// the batches over again afterwards, the work in progress would be lost a second time. So the new
/// owner has the old one's announcement removed; when announced again, it comes last.
#[test]
fn a_replaced_owner_comes_back_as_the_last() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);
    announce(&mut view, "c", 3, 12);
    assert!(view.displaced(SECOND).is_empty());

    view.mark_unresponsive(&id("a"), SECOND);
    view.mark_unresponsive(&id("c"), SECOND);
    let displaced = view.displaced(SECOND);
    view.withdrawn(&id("a"));
    announce(&mut view, "a", 1, 20);

    assert_eq!(displaced, [id("a")], "a later entry owns nothing");
    assert_eq!(owner(&view, SECOND), "b");
}

/// Two gateways come after the unresponsive owner. Only the first of them may have it removed.
#[test]
fn an_entry_that_is_not_the_owner_displaces_nobody() {
    let mut view = view("c", 3);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);
    announce(&mut view, "c", 3, 12);

    view.mark_unresponsive(&id("a"), SECOND);

    assert!(view.displaced(SECOND).is_empty());
}

/// An entry's own announcement was removed while changes were missed. If it still counted, the
/// entry would consider itself the owner, unlike all others.
#[test]
fn an_entry_missing_from_the_whole_list_counts_itself_as_last() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);

    view.retain_listed(&[id("b")].into());

    assert_eq!(owner(&view, SECOND), "b");
}

#[test]
fn an_entry_that_answers_is_live_again_at_once() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    view.mark_unresponsive(&id("a"), SECOND);

    view.mark_responsive(&id("a"));

    assert_eq!(owner(&view, SECOND), "a");
}

/// All hosts lose power at once. The announcements of the earlier incarnations stay in the store,
/// and rows are read in order of their names. An earlier incarnation must not hide the current one.
#[test]
fn a_later_incarnation_replaces_the_earlier_one_at_its_address_in_any_order() {
    let mut earlier_first = view("x", 9);
    announce(&mut earlier_first, "m-dead", 1, 10);
    announce(&mut earlier_first, "m-living", 1, 30);
    let mut later_first = view("x", 9);
    announce(&mut later_first, "m-living", 1, 30);
    announce(&mut later_first, "m-dead", 1, 10);

    let owners = [owner(&earlier_first, SECOND), owner(&later_first, SECOND)];

    assert_eq!(owners, ["m-living", "m-living"]);
}

#[test]
fn an_entry_that_stays_unresponsive_expires() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    view.mark_unresponsive(&id("a"), SECOND);

    assert!(view.expired(5 * SECOND).is_empty());
    assert_eq!(view.expired(14 * SECOND), [id("a")]);
}

#[test]
fn the_own_entry_never_expires() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);

    view.mark_unresponsive(&id("a"), SECOND);
    view.withdrawn(&id("a"));
    view.retain_listed(&[].into());

    assert_eq!(owner(&view, SECOND), "a");
    assert!(view.expired(60 * SECOND).is_empty());
}

/// Views of entries that all know each other; those named `far` are in another zone.
fn zone_views(names: &[&str]) -> Vec<InstanceView> {
    let numbered = || (1_u16..).zip(names);
    let announced = |port: u16, name: &str| Announcement {
        zone: Some(
            if name.starts_with("far") {
                "south"
            } else {
                "north"
            }
            .parse()
            .unwrap(),
        ),
        millicores: if name.ends_with("weak") { 90 } else { 500 },
        ..announcement(port)
    };
    let view = |(port, name): (u16, &&str)| {
        let mut view = InstanceView::new(id(name), announced(port, name));
        for (port, name) in numbered() {
            view.announced(
                id(name),
                announced(port, name),
                RowVersion::new(port.into()),
            );
        }
        view
    };
    numbered().map(view).collect()
}

fn reader(view: &InstanceView, excluded: &str) -> String {
    match view.reader(SECOND, |id| id.as_str() == excluded) {
        StoreReader::Each => "each".to_owned(),
        StoreReader::This => view.own().to_string(),
        StoreReader::Other(id, _) => id.to_string(),
    }
}

#[test]
fn all_entries_of_a_zone_select_one_strong_reader() {
    let views = zone_views(&["a-weak", "b", "c", "d-weak", "e-weak", "far-1", "far-2"]);

    let readers: Vec<_> = views.iter().map(|view| reader(view, "")).collect();

    let first = &readers[0];
    assert!(first == "b" || first == "c", "{first}");
    assert!(
        readers[..5].iter().all(|reader| reader == first),
        "{readers:?}"
    );
    // With two entries in the other zone, a common reader saves nothing.
    assert_eq!(readers[5..], ["each", "each"]);
}

/// The reader delivered nothing new or became unresponsive. The next strong entry takes its place,
/// and a weak one only when there is no strong one.
#[test]
fn an_excluded_reader_is_replaced_by_the_next_strong_entry() {
    let mut views = zone_views(&["a-weak", "b", "c", "d-weak", "e-weak"]);
    let first = reader(&views[0], "");
    let second = reader(&views[0], &first);
    views[0].mark_unresponsive(&id(&second), SECOND);

    assert!(second == "b" || second == "c");
    assert_ne!(second, first);
    assert_eq!(reader(&views[0], ""), first);
    assert!(reader(&views[0], &first).ends_with("weak"));
}

/// An entry that is about to stop gives up its role while it still serves its open requests.
#[test]
fn a_leaving_entry_is_not_a_reader() {
    let mut views = zone_views(&["a", "b", "c", "d"]);
    let first = reader(&views[0], "");
    let own = views
        .iter_mut()
        .find(|view| view.own().as_str() == first)
        .unwrap();

    own.step_down();

    assert_ne!(reader(own, ""), first);
}

/// All gateways lose power. Before any of them has announced itself again, each must know who reads
/// the store for its zone: the same address as before, whatever incarnation is there now.
#[test]
fn after_a_power_failure_the_start_plans_name_the_same_first_entry() {
    let names = ["a", "b", "c-weak", "d-weak", "e-weak", "f-weak"];
    let ended = zone_views(&names);
    let addresses: Vec<_> = ended.iter().map(InstanceView::own_address).collect();
    let restarted = names.iter().zip(&addresses).map(|(name, address)| {
        let own = Announcement {
            address: *address,
            millicores: if name.ends_with("weak") { 90 } else { 500 },
            zone: Some("north".parse().unwrap()),
        };
        let mut view = InstanceView::new(id(&format!("{name}-again")), own);
        for (version, (name, address)) in (1..).zip(names.iter().zip(&addresses)) {
            let announced = Announcement {
                address: *address,
                millicores: if name.ends_with("weak") { 90 } else { 500 },
                zone: Some("north".parse().unwrap()),
            };
            view.announced(id(name), announced, RowVersion::new(version));
        }
        view
    });

    let views: Vec<_> = restarted.collect();
    let plans: Vec<_> = views.iter().map(|view| view.start_plan(SECOND)).collect();

    let first = plans.iter().position(|plan| plan.sources().is_empty());
    let first = addresses[first.unwrap()];
    assert!(addresses[..2].contains(&first), "a strong one");
    for plan in plans.iter().filter(|plan| !plan.sources().is_empty()) {
        assert_eq!(plan.sources()[0].1, first);
        assert!(plan.sources().len() < names.len());
        assert!(plan.store_after(false) > Duration::ZERO);
    }
    for (view, name) in views.iter().zip(names) {
        assert_eq!(view.former(), [id(name)]);
    }
}

/// In a zone of few entries each reads the store by itself, at once.
#[test]
fn an_entry_of_a_small_zone_starts_from_the_store() {
    let views = zone_views(&["a", "b", "c", "far-1"]);

    for view in &views {
        assert!(view.start_plan(SECOND).sources().is_empty());
    }
}

/// The owner of a cell restarts with all others. Requests reach it by its address, so it must know
/// that it is the owner before it is announced again, as the others do.
#[test]
fn an_owner_is_the_same_address_before_and_after_a_restart_of_all() {
    let cell = Cell::of_call(&"c1".parse().unwrap(), 2);
    let ports = 1_u16..=6;
    let mut before = view("e1", 1);
    for port in ports.clone() {
        announce(&mut before, &format!("e{port}"), port, port.into());
    }
    let owner_address = before.owner(cell, SECOND).1;

    for port in ports.clone() {
        let mut again = view(&format!("e{port}-again"), port);
        for port in ports.clone() {
            announce(&mut again, &format!("e{port}"), port, port.into());
        }
        assert_eq!(again.owner(cell, SECOND).1, owner_address);
        announce(&mut again, &format!("e{port}-again"), port, 90);
        again.withdrawn(&id(&format!("e{port}")));
        assert_eq!(again.owner(cell, SECOND).1, owner_address);
        assert!(again.former().is_empty());
    }
}

//! Which entry acts for all, as each of them sees it.

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
fn alone_an_entry_acts_itself() {
    let view = view("a", 1);

    assert_eq!(owner(&view, SECOND), "a");
}

#[test]
fn all_entries_name_the_first_announced() {
    let mut views = [view("a", 1), view("b", 2), view("c", 3)];
    for view in &mut views {
        announce(view, "c", 3, 11);
        announce(view, "a", 1, 12);
        announce(view, "b", 2, 13);
    }

    let owners = views.each_ref().map(|view| owner(view, SECOND));

    assert_eq!(owners, ["c", "c", "c"]);
}

/// Entries are restarted one after the other. If each one that joins took the batches over, two
/// entries would make batches at once for seconds at every restart.
#[test]
fn one_that_joins_takes_nothing_over() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);

    announce(&mut view, "0-first-by-name", 2, 20);

    assert_eq!(owner(&view, SECOND), "a");
}

#[test]
fn a_stronger_machine_goes_first() {
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
fn a_silent_entry_is_passed_over_and_tried_again_later() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);

    view.mark_unresponsive(&id("a"), SECOND);

    assert_eq!(owner(&view, 2 * SECOND), "b");
    assert_eq!(view.live_count(2 * SECOND), 1);
    assert_eq!(owner(&view, 5 * SECOND), "a");
}

/// An owner stays frozen for longer than it is passed over. Tried again with requests, it would hold
/// up all those of the moment: it is named until then, so that a question can be put to it first.
#[test]
fn entries_that_are_passed_over_are_named_until_they_are_tried_again() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    assert!(view.unresponsive(SECOND).is_empty());

    view.mark_unresponsive(&id("a"), SECOND);
    let named = view.unresponsive(2 * SECOND);
    view.mark_unresponsive(&id("a"), 2 * SECOND);

    assert_eq!(named, [(id("a"), announcement(1).address)]);
    assert_eq!(
        owner(&view, 4 * SECOND),
        "b",
        "no answer puts it off further"
    );
    assert!(view.unresponsive(5 * SECOND).is_empty());
}

/// The owner freezes for some seconds, and the next one takes its place. When the old one came back
/// it took the batches over again, and what was begun was lost a second time. The next one asks for
/// the old one's announcement to be removed; announced anew, it is the youngest.
#[test]
fn one_that_was_replaced_comes_back_as_the_youngest() {
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

    assert_eq!(displaced, [id("a")], "one that comes later owns nothing");
    assert_eq!(owner(&view, SECOND), "b");
}

/// Two gateways are after the silent owner. Only the next one may have it removed.
#[test]
fn one_that_does_not_act_displaces_nobody() {
    let mut view = view("c", 3);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);
    announce(&mut view, "c", 3, 12);

    view.mark_unresponsive(&id("a"), SECOND);

    assert!(view.displaced(SECOND).is_empty());
}

/// The own announcement was removed while no change could be told. Taken for there, the
/// entry would go on to be the first for itself alone.
#[test]
fn a_whole_list_without_the_own_announcement_makes_it_the_last() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);
    announce(&mut view, "b", 2, 11);

    view.retain_listed(&[id("b")]);

    assert_eq!(owner(&view, SECOND), "b");
}

#[test]
fn one_that_answers_is_taken_back_at_once() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    view.mark_unresponsive(&id("a"), SECOND);

    view.mark_responsive(&id("a"));

    assert_eq!(owner(&view, SECOND), "a");
}

/// All machines lose power at once. The announcements of the dead lives stay in the store, and the
/// rows come in the order of their names. The dead life of a machine must not hide the living one.
#[test]
fn a_newer_life_replaces_the_older_at_its_address_in_any_order() {
    let mut older_first = view("x", 9);
    announce(&mut older_first, "m-dead", 1, 10);
    announce(&mut older_first, "m-living", 1, 30);
    let mut newer_first = view("x", 9);
    announce(&mut newer_first, "m-living", 1, 30);
    announce(&mut newer_first, "m-dead", 1, 10);

    let owners = [owner(&older_first, SECOND), owner(&newer_first, SECOND)];

    assert_eq!(owners, ["m-living", "m-living"]);
}

#[test]
fn one_that_nobody_reaches_for_long_is_forgotten() {
    let mut view = view("b", 2);
    announce(&mut view, "a", 1, 10);
    view.mark_unresponsive(&id("a"), SECOND);

    assert!(view.expired(5 * SECOND).is_empty());
    assert_eq!(view.expired(14 * SECOND), [id("a")]);
}

#[test]
fn the_own_entry_is_never_given_up() {
    let mut view = view("a", 1);
    announce(&mut view, "a", 1, 10);

    view.mark_unresponsive(&id("a"), SECOND);
    view.withdrawn(&id("a"));
    view.retain_listed(&[]);

    assert_eq!(owner(&view, SECOND), "a");
    assert!(view.expired(60 * SECOND).is_empty());
}

/// Views of entries of one zone, and one of another, that all know of each other.
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

fn reader(view: &InstanceView, left_out: &str) -> String {
    match view.reader(SECOND, |id| id.as_str() == left_out) {
        StoreReader::Each => "each".to_owned(),
        StoreReader::This => view.own().to_string(),
        StoreReader::Other(id, _) => id.to_string(),
    }
}

#[test]
fn all_entries_of_a_zone_name_one_strong_reader() {
    let views = zone_views(&["a-weak", "b", "c", "d-weak", "e-weak", "far-1", "far-2"]);

    let readers: Vec<_> = views.iter().map(|view| reader(view, "")).collect();

    let first = &readers[0];
    assert!(first == "b" || first == "c", "{first}");
    assert!(
        readers[..5].iter().all(|reader| reader == first),
        "{readers:?}"
    );
    // Two in the other zone: nothing is gained there.
    assert_eq!(readers[5..], ["each", "each"]);
}

/// The reader told nothing new, or fell silent. The next strong one takes its place, and a weak one
/// only when no strong one is left.
#[test]
fn a_reader_that_is_left_out_is_replaced_by_the_next_strong_one() {
    let mut views = zone_views(&["a-weak", "b", "c", "d-weak", "e-weak"]);
    let first = reader(&views[0], "");
    let second = reader(&views[0], &first);
    views[0].mark_unresponsive(&id(&second), SECOND);

    assert!(second == "b" || second == "c");
    assert_ne!(second, first);
    assert_eq!(reader(&views[0], ""), first);
    assert!(reader(&views[0], &first).ends_with("weak"));
}

/// An entry that is about to stop hands its part over while it still serves what it has.
#[test]
fn an_entry_that_leaves_reads_for_nobody() {
    let mut views = zone_views(&["a", "b", "c", "d"]);
    let first = reader(&views[0], "");
    let own = views
        .iter_mut()
        .find(|view| view.own().as_str() == first)
        .unwrap();

    own.step_down();

    assert_ne!(reader(own, ""), first);
}

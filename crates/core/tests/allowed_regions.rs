//! Regions that routes may use.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::{RoutingVersion, ZoneId};
use amaranthscale_core::process::AllowedZones;
use amaranthscale_core::version::{
    AllowedRegions, CallerBounds, Route, RouteKind, Routing, ZoneRegions,
};

fn zone_regions() -> ZoneRegions {
    let zones = [
        ("north-1", "north"),
        ("north-2", "north"),
        ("south-1", "south"),
    ];
    let parsed = zones.map(|(zone, region)| (zone.parse().unwrap(), region.parse().unwrap()));
    parsed.into_iter().collect()
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions.iter().map(|one| one.parse().unwrap()).collect())
}

fn zone(text: &str) -> ZoneId {
    text.parse().unwrap()
}

fn route(id: &str, allowed_regions: AllowedRegions) -> Route {
    Route {
        id: id.parse().unwrap(),
        host: "intake.example".to_owned(),
        prefix: format!("/{id}/"),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        services: Vec::new(),
        max_attempts: 2,
        stages: Vec::new(),
        is_public: true,
        max_event_gap: None,
        allowed_regions,
        allowed_zones: AllowedZones::default(),
    }
}

#[test]
fn the_zones_of_allowed_regions_are_allowed() {
    let north = zone_regions().allowed_zones(&only(&["north"])).unwrap();

    assert!(north.contains(&zone("north-1")) && north.contains(&zone("north-2")));
    assert!(!north.contains(&zone("south-1")));
    assert!(
        !north.contains(&zone("elsewhere")),
        "its region is not known"
    );
    let all = zone_regions().allowed_zones(&AllowedRegions::All).unwrap();
    assert!(all.is_all() && all.contains(&zone("elsewhere")));
}

/// Guards against a wrong value that allows any zone: a wrong region is worse than a refusal.
#[test]
fn regions_that_cannot_be_used_name_the_reason() {
    let reason_of = |regions| zone_regions().allowed_zones(&regions).unwrap_err();

    assert!(reason_of(only(&[])).contains("no region"));
    assert!(reason_of(only(&["north", "east"])).contains("\"east\""));
    let invalid = AllowedRegions::Invalid("it is 7".to_owned());
    assert_eq!(reason_of(invalid), "it is 7");
}

#[test]
fn routes_are_restricted_each_by_itself() {
    let routes = [
        route("free", AllowedRegions::All),
        route("north", only(&["north"])),
        route("nowhere", only(&["east"])),
    ];
    let routing = Routing::new(RoutingVersion::new(1), CallerBounds::default()).with_routes(routes);

    let (routing, unserved) = routing.with_zone_regions(&zone_regions());

    let allows = |id: &str, name: &str| {
        let route = routing.route("intake.example", &format!("/{id}/")).unwrap();
        route.allowed_zones.contains(&zone(name))
    };
    assert!(allows("free", "south-1") && allows("free", "elsewhere"));
    assert!(allows("north", "north-2") && !allows("north", "south-1"));
    assert!(!allows("nowhere", "north-1") && !allows("nowhere", "south-1"));
    let unserved: Vec<_> = unserved.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(unserved, ["nowhere"]);
}

//! Look-ups in one version of the routing.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::time::Duration;

use amaranthscale_core::id::{CallId, RoutingVersion};
use amaranthscale_core::process::AllowedZones;
use amaranthscale_core::version::{
    AllowedRegions, CallerBounds, KeyHolder, Route, RouteKind, Routing,
};

fn route(id: &str, prefix: &str) -> Route {
    Route {
        id: id.parse().unwrap(),
        host: "intake.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        services: vec![("scale".parse().unwrap(), 1)],
        max_attempts: 2,
        stages: Vec::new(),
        is_public: false,
        max_event_gap: None,
        allowed_regions: AllowedRegions::All,
        allowed_zones: AllowedZones::default(),
    }
}

fn routing() -> Routing {
    let bounds = CallerBounds::default();
    let routes = [route("all", "/loads/"), route("flags", "/loads/flags/")];
    Routing::new(RoutingVersion::new(7), bounds).with_routes(routes)
}

fn found(path: &str) -> Option<String> {
    let routing = routing();
    let route = routing.route("intake.example", path);
    route.map(|route| route.id.to_string())
}

#[test]
fn the_longest_prefix_of_a_path_wins() {
    assert_eq!(found("/loads/17").as_deref(), Some("all"));
    assert_eq!(found("/loads/flags/17").as_deref(), Some("flags"));
    assert_eq!(found("/loads/flagsx").as_deref(), Some("all"));
}

#[test]
fn a_path_or_host_without_a_route_has_none() {
    assert_eq!(found("/load"), None);
    assert_eq!(found("/"), None);
    assert!(routing().route("other.example", "/loads/17").is_none());
}

#[test]
fn a_key_is_mapped_to_its_organisation() {
    let holder = KeyHolder {
        organisation: "north".parse().unwrap(),
        keys: vec!["k-one".to_owned(), "k-two".to_owned()],
        priority: Some(1),
    };
    let routing = routing().with_holders([holder]);

    assert!(routing.requires_keys());
    assert_eq!(
        routing.holder("k-two").unwrap().organisation.as_str(),
        "north"
    );
    assert!(routing.holder("k-three").is_none());
}

#[test]
fn debug_output_contains_no_keys() {
    let holder = KeyHolder {
        organisation: "north".parse().unwrap(),
        keys: vec!["secret-key".to_owned()],
        priority: None,
    };

    let shown = format!("{:?}", routing().with_holders([holder]));

    assert!(shown.contains("north"));
    assert!(!shown.contains("secret-key"), "{shown}");
}

#[test]
fn a_split_follows_its_shares_and_is_stable_for_each_call() {
    let mut split = route("split", "/split/");
    let services = [("scale", 90), ("other", 10)];
    split.services = services
        .map(|(name, share)| (name.parse().unwrap(), share))
        .to_vec();
    let calls = (0..2_000).map(|call| format!("call-{call}").parse::<CallId>().unwrap());
    let calls: Vec<_> = calls.collect();

    let other = calls
        .iter()
        .filter(|call| split.service_for(call).unwrap().as_str() == "other");

    let share = other.count();
    assert!((140..260).contains(&share), "{share} of 2,000");
    assert_eq!(split.service_for(&calls[0]), split.service_for(&calls[0]));
}

/// The route that a simple reference implementation finds: the longest prefix, and among equal ones
/// the first.
fn reference_route<'a>(routes: &'a [Route], path: &str) -> Option<&'a Route> {
    let matches = routes
        .iter()
        .filter(|route| path.starts_with(&route.prefix));
    matches.fold(None, |longest, route| match longest {
        Some(longest) if longest.prefix.len() >= route.prefix.len() => Some(longest),
        _ => Some(route),
    })
}

/// Nested, duplicate and empty prefixes, with and without a final slash, in any order.
#[test]
fn routes_are_found_as_by_the_reference_implementation() {
    fn holds(shapes: Vec<(u8, u8, bool)>, paths: Vec<(u8, u8, u8)>) -> bool {
        let part = |number: u8| ["", "a", "b", "ab", "a%2f", "é"][usize::from(number % 6)];
        let prefix = |(first, second, ends): (u8, u8, bool)| {
            let end = if ends { "/" } else { "" };
            format!("/{}/{}{end}", part(first), part(second))
        };
        let routes = shapes.into_iter().enumerate();
        let routes: Vec<_> = routes
            .map(|(index, shape)| route(&format!("r{index}"), &prefix(shape)))
            .collect();
        let routing = Routing::new(RoutingVersion::new(1), CallerBounds::default())
            .with_routes(routes.clone());
        paths.into_iter().all(|(first, second, third)| {
            let path = format!("/{}/{}/{}", part(first), part(second), part(third));
            let found = routing.route("intake.example", &path);
            let expected = reference_route(&routes, &path);
            found.map(|route| &route.id) == expected.map(|route| &route.id)
        })
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>, Vec<(u8, u8, u8)>) -> bool);
}

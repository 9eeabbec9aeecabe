//! Software versions in use, as one gateway knows them.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthscale_core::id::{ServiceId, SoftwareVersion};
use amaranthscale_core::process::{PublishedVersions, ServiceVersion, VersionBinding};

const RETENTION: Duration = Duration::from_secs(30);

fn service() -> ServiceId {
    ServiceId::new("pool").expect("a valid name")
}

fn version(text: &str) -> ServiceVersion {
    ServiceVersion {
        service: service(),
        version: Some(SoftwareVersion::new(text)),
    }
}

fn binding(versions: &[&str]) -> VersionBinding {
    VersionBinding::one_of(
        versions
            .iter()
            .map(|text| Some(SoftwareVersion::new(*text))),
    )
}

/// A gateway that has read an empty table and observed these versions.
fn observed(versions: &[&str]) -> PublishedVersions {
    let mut published = PublishedVersions::default();
    published.apply_all(BTreeSet::new(), Duration::ZERO);
    let listed = versions.iter().map(|text| version(text));
    published.observe(listed, RETENTION, Duration::ZERO);
    published
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against streams of a version that no gateway which starts later can know of.
#[test]
fn a_single_version_is_used_only_once_it_is_published() {
    let mut published = observed(&["v1"]);

    assert!(published.beginning(&service()).is_none());
    assert!(published.is_awaited(&service()));
    assert_eq!(published.unpublished(), [version("v1")]);

    published.apply(version("v1"), true, at(1));

    assert_eq!(published.beginning(&service()), binding(&["v1"]));
    assert!(!published.is_awaited(&service()));
    assert_eq!(
        published.only_version(&service()),
        Some(version("v1").version)
    );
    assert!(published.unpublished().is_empty());
}

/// Guards against streams that cannot begin because the store takes no write.
#[test]
fn streams_begin_at_the_only_version_where_none_can_be_published() {
    let published = observed(&["v1"]);

    let binding_now = published.beginning_unpublished(&service());

    assert_eq!(binding_now, binding(&["v1"]));
}

/// Guards against a gateway that begins streams at a version before it knows of those in use.
#[test]
fn streams_begin_at_no_unpublished_version_before_the_table_was_read() {
    let mut published = PublishedVersions::default();
    published.observe([version("v2")], RETENTION, at(0));

    assert!(published.beginning_unpublished(&service()).is_none());

    published.apply_all(BTreeSet::from([version("v1")]), at(1));

    assert_eq!(
        published.beginning_unpublished(&service()),
        binding(&["v1"])
    );
    assert!(published.is_awaited(&service()));
}

#[test]
fn without_servers_no_publication_is_awaited() {
    let published = observed(&[]);

    assert!(!published.is_awaited(&service()));
    assert!(published.beginning(&service()).is_none());
}

/// Guards against streams at a second version that a gateway which starts later does not know of.
#[test]
fn a_second_version_is_used_only_once_both_are_published() {
    let mut published = observed(&["v1"]);
    published.apply(version("v1"), true, at(0));
    published.observe([version("v1"), version("v2")], RETENTION, at(1));

    assert_eq!(published.beginning(&service()), binding(&["v1"]));
    assert_eq!(published.only_version(&service()), None);
    assert_eq!(published.unpublished(), [version("v2")]);

    published.apply(version("v2"), true, at(2));

    assert_eq!(published.beginning(&service()), binding(&["v1", "v2"]));
    assert!(published.unpublished().is_empty());
}

/// Guards against streams of a version whose servers have gone that go on at the other one.
#[test]
fn a_version_counts_until_no_stream_of_it_can_be_taken_up() {
    let mut published = observed(&["v1"]);
    published.observe([version("v2")], RETENTION, at(10));

    assert_eq!(published.only_version(&service()), None);

    published.observe([version("v2")], RETENTION, at(31));

    assert_eq!(
        published.only_version(&service()),
        Some(version("v2").version)
    );
}

/// Guards against a gateway that starts after a release and takes the new version for the only one.
#[test]
fn published_versions_count_for_a_gateway_that_has_never_seen_their_servers() {
    let mut published = PublishedVersions::default();
    published.observe([version("v2")], RETENTION, at(0));
    assert_eq!(
        published.only_version(&service()),
        None,
        "the table was not read yet"
    );

    let table = BTreeSet::from([version("v1"), version("v2")]);
    published.apply_all(table, at(1));

    assert_eq!(published.only_version(&service()), None);
    published.observe([version("v2")], RETENTION, at(30));
    assert!(published.removable(RETENTION, at(30)).is_empty());
    assert_eq!(published.removable(RETENTION, at(31)), [version("v1")]);
}

/// Guards against a gateway that relies on versions which it heard of long ago.
#[test]
fn versions_are_current_only_while_the_store_answers() {
    let mut published = observed(&["v1"]);
    assert!(!published.is_current(at(0)));

    published.store_answered(at(1));
    assert!(published.is_current(at(3)));
    assert!(!published.is_current(at(31)));

    published.store_answered(at(31));
    published.store_lost();
    assert!(!published.is_current(at(31)));
}

/// Guards against a version that replaces the last one unseen, so that nobody knows of both.
#[test]
fn the_last_published_version_stays_as_long_as_its_streams() {
    let mut published = observed(&["v2"]);
    published.apply(version("v2"), true, at(1));

    assert!(published.removable(RETENTION, at(2)).is_empty());
    assert_eq!(published.removable(RETENTION, at(31)), [version("v2")]);
}

/// Guards against a gateway that withdraws versions by the time at which it started.
#[test]
fn a_version_that_was_published_before_the_start_stays_as_long_as_its_streams() {
    let mut published = PublishedVersions::default();
    published.apply_all(BTreeSet::from([version("v1")]), at(100));

    assert!(published.removable(RETENTION, at(129)).is_empty());
    assert_eq!(published.removable(RETENTION, at(130)), [version("v1")]);
}

#[test]
fn versions_of_other_services_do_not_count() {
    let mut published = observed(&["v1"]);
    let other = ServiceVersion {
        service: ServiceId::new("desk").expect("a valid name"),
        version: None,
    };
    published.observe([version("v1"), other.clone()], RETENTION, at(1));
    published.apply(other, true, at(1));

    assert!(published.is_awaited(&service()));
    assert_eq!(
        published.only_version(&service()),
        Some(version("v1").version)
    );
}

//! Fingerprints of requests.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use amaranthscale_core::id::{OrganisationId, RequestFingerprint};
use quickcheck::quickcheck;

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn fingerprint(organisation_name: &str, host: &str, path: &str, body: &str) -> RequestFingerprint {
    let organisation = organisation(organisation_name);
    RequestFingerprint::of(Some(&organisation), host, path, body.as_bytes())
}

#[test]
fn each_part_of_a_request_changes_its_fingerprint() {
    let first = fingerprint("north", "h.example", "/a/", "body");

    assert_eq!(first, fingerprint("north", "h.example", "/a/", "body"));
    assert_ne!(first, fingerprint("south", "h.example", "/a/", "body"));
    assert_ne!(first, fingerprint("north", "g.example", "/a/", "body"));
    assert_ne!(first, fingerprint("north", "h.example", "/b/", "body"));
    assert_ne!(first, fingerprint("north", "h.example", "/a/", "other"));
    assert_ne!(
        first,
        RequestFingerprint::of(None, "h.example", "/a/", b"body")
    );
}

/// A caller that moves bytes from its path to its body must not get another request's fingerprint.
#[test]
fn the_parts_of_a_request_are_delimited() {
    let first = fingerprint("north", "h.example", "/a/b", "c");

    assert_ne!(first, fingerprint("north", "h.example", "/a/", "bc"));
    assert_ne!(first, fingerprint("north", "h.example/a", "/b", "c"));
}

quickcheck! {
    fn a_fingerprint_is_parsed_from_its_text(host: String, path: String, body: Vec<u8>) -> bool {
        let fingerprint = RequestFingerprint::of(None, &host, &path, &body);
        fingerprint.to_string().parse() == Ok(fingerprint)
    }
}

#[test]
fn invalid_text_is_refused_with_an_error_that_contains_it() {
    for text in [
        "",
        "abc",
        "ABCDEF0123456789ABCDEF0123456789",
        "0123456789abcdef0123456789abcdefg",
        "+123456789abcdef0123456789abcdef",
    ] {
        let error = text.parse::<RequestFingerprint>().unwrap_err();

        assert!(error.to_string().contains(&format!("{text:?}")));
    }
}

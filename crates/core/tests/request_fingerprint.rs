//! What a request is by its content.

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
fn each_part_of_a_request_tells_it_from_others() {
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

/// A caller that moves bytes from its path to its body must not take another request's name.
#[test]
fn parts_of_a_request_do_not_run_into_each_other() {
    let first = fingerprint("north", "h.example", "/a/b", "c");

    assert_ne!(first, fingerprint("north", "h.example", "/a/", "bc"));
    assert_ne!(first, fingerprint("north", "h.example/a", "/b", "c"));
}

quickcheck! {
    fn a_fingerprint_reads_back_from_its_text(host: String, path: String, body: Vec<u8>) -> bool {
        let fingerprint = RequestFingerprint::of(None, &host, &path, &body);
        fingerprint.to_string().parse() == Ok(fingerprint)
    }
}

#[test]
fn what_is_no_fingerprint_is_refused_with_its_text() {
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

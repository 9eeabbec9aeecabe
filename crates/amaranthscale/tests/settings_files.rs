//! Settings files: their values, and errors that name what is wrong.

use amaranthscale::process::settings::{
    ENTRY_KEYS, EntrySettings, KeyDefault, KeySpec, SIDECAR_KEYS, SettingsError, SidecarSettings,
};
use quickcheck::{Gen, QuickCheck};

const ENTRY: &str = "[entry]\nhost = e1\nregion = r\nzone = z\nplatform = 127.0.0.1:7000\n";
const SIDECAR: &str = "[sidecar]\nhost = s1\nregion = r\nzone = z\nservice = scalehouse\n\
                       backend = 127.0.0.1:7100\nplatform = 127.0.0.1:7000\n";
const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");

fn entry_error(rest: &str) -> SettingsError {
    let text = format!("{ENTRY}{rest}");
    EntrySettings::parse("e.ini", text).expect_err(rest)
}

#[test]
fn keys_that_are_not_given_have_defaults() {
    let entry = EntrySettings::parse("e.ini", ENTRY).unwrap();
    let sidecar = SidecarSettings::parse("s.ini", SIDECAR).unwrap();

    assert_eq!(entry.listen.port(), 0);
    assert_eq!(entry.tree.poll_ms, 2000);
    assert_eq!(entry.operator_key_hash, None);
    assert_eq!(sidecar.service.as_str(), "scalehouse");
    assert!(!sidecar.engine.has_orders);
}

#[test]
fn given_values_comments_and_both_line_ends_are_read() {
    let text = format!("{ENTRY}; a comment\n\n  # another\n[tree]\npoll_ms=500\n");
    let text = text.replace('\n', "\r\n");

    let entry = EntrySettings::parse("e.ini", text).unwrap();

    assert_eq!(entry.tree.poll_ms, 500);
}

#[test]
fn an_error_names_file_line_and_what_is_accepted() {
    let wrong = [
        (
            "[tre]\n",
            "e.ini:6: section [tre] is unknown: use [connections], [entry],",
        ),
        (
            "[tree]\npol_ms = 5\n",
            "e.ini:7: [tree] pol_ms is unknown: use poll_ms or exchange_ms",
        ),
        (
            "[tree]\npoll_ms = 2s\n",
            "e.ini:7: [tree] poll_ms = \"2s\": give a whole number from 1",
        ),
        ("[tree]\npoll_ms = 0\n", "e.ini:7: [tree] poll_ms = \"0\""),
        (
            "zone = y\n",
            "e.ini:6: [entry] zone stands in line 4 already",
        ),
        (
            "[entry]\n",
            "e.ini:6: section [entry] stands in line 1 already",
        ),
        (
            "listen = here\n",
            "e.ini:6: [entry] listen = \"here\": give an IP address with a port",
        ),
        ("listen\n", "e.ini:6: \"listen\" is no [section]"),
        ("[log\n", "e.ini:6: \"[log\" is no [section]"),
        (
            "[log]\nlevel = loud\n",
            "give off, error, warn, info, debug or trace",
        ),
        (
            "[limits]\nmax_deadline_ms = 9\n",
            "e.ini:7: [limits] default_deadline_ms = 10000: give at",
        ),
    ];
    for (rest, expected) in wrong {
        let error = entry_error(rest).to_string();
        assert!(error.contains(expected), "{rest:?}: {error}");
    }
}

#[test]
fn a_missing_key_and_a_key_without_section_are_named() {
    let missing = EntrySettings::parse("e.ini", "[entry]\nhost = e1\n").unwrap_err();
    let without_section = EntrySettings::parse("e.ini", "host = e1\n").unwrap_err();

    assert!(
        missing
            .to_string()
            .starts_with("e.ini: [entry] region is missing")
    );
    assert!(
        without_section
            .to_string()
            .starts_with("e.ini:1: key \"host\" stands before")
    );
}

/// An operator writes the key itself instead of its hash. The daemon refuses to start, and its
/// error goes to a log that many can read: errors that repeat the value would disclose the key.
#[test]
fn a_key_in_place_of_its_hash_is_not_shown() {
    for line in [
        "key_hash = the-secret-key",
        "key_hash the-secret-key",
        "the-secret-key",
    ] {
        let error = entry_error(&format!("[operator]\n{line}\n"));

        assert_eq!(error.line(), Some(7));
        assert!(!error.to_string().contains("secret"), "{error}");
    }
}

#[test]
fn paid_work_cannot_reserve_more_slots_than_there_are() {
    let text = format!("{SIDECAR}[queue]\nslots = 1\n");

    let error = SidecarSettings::parse("s.ini", text).unwrap_err();

    assert_eq!(
        error.to_string(),
        "s.ini:9: [queue] paid_reserve_slots = 2: give at most slots, which is 1"
    );
}

#[test]
fn the_page_lists_every_key_as_the_program_does() {
    assert!(SETTINGS_PAGE.contains(&EntrySettings::print_settings()));
    assert!(SETTINGS_PAGE.contains(&SidecarSettings::print_settings()));
}

#[test]
fn every_default_is_accepted_and_every_time_has_a_unit() {
    for key in ENTRY_KEYS.iter().chain(SIDECAR_KEYS) {
        if let KeyDefault::Value(value) = key.default {
            assert!(key.value_kind.accepts(value), "{}", key.name);
        }
        let is_timed = key.meaning.contains("time");
        assert!(!is_timed || key.unit() == "ms", "{}", key.name);
    }
}

/// Any value that the table accepts must fit the type of its field, or parsing would panic.
#[test]
fn the_limits_of_every_range_are_accepted() {
    let texts = |keys: &[KeySpec], base: &str, end: fn(u64, u64) -> u64| {
        keys.iter()
            .filter_map(|key| match key.value_kind {
                amaranthscale::process::settings::ValueKind::Number { min, max } => {
                    let value = end(min, max);
                    Some(format!("{base}[{}]\n{} = {value}\n", key.section, key.name))
                }
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    for end in [|min, _| min, |_, max| max] {
        for text in texts(ENTRY_KEYS, ENTRY, end) {
            let read = EntrySettings::parse("e.ini", &text);
            assert!(read.is_ok() || text.contains("deadline"), "{read:?}");
        }
        for text in texts(SIDECAR_KEYS, SIDECAR, end) {
            let read = SidecarSettings::parse("s.ini", &text);
            assert!(read.is_ok() || text.contains("slots"), "{read:?}");
        }
    }
}

#[test]
fn random_text_is_parsed_or_rejected_without_a_panic() {
    fn property(pieces: Vec<u8>, noise: String) -> bool {
        let known = [
            "[entry]", "[", "]", "host", "=", ":", "\n", "\\", "\"", "'", "#", " ", "\r",
        ];
        let mut text = ENTRY.to_owned();
        for piece in pieces {
            text.push_str(
                known
                    .get(usize::from(piece) % 16)
                    .unwrap_or(&noise.as_str()),
            );
        }
        let files = [text, noise];
        files.iter().all(|text| {
            let entry = EntrySettings::parse("e.ini", text);
            let sidecar = SidecarSettings::parse("s.ini", text);
            let shows_file = entry
                .err()
                .is_none_or(|e| e.to_string().starts_with("e.ini:"));
            shows_file && sidecar.is_err_and(|e| e.to_string().starts_with("s.ini:"))
        })
    }
    let random = Gen::from_size_and_seed(40, 0x5eed);
    let property: fn(Vec<u8>, String) -> bool = property;
    QuickCheck::new()
        .rng(random)
        .tests(2000)
        .quickcheck(property);
}

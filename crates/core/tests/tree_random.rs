//! Random input: decoders never panic, and no sequence of replies decreases a version.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use amaranthscale_core::id::{OrganisationId, TreeVersion};
use amaranthscale_core::version::{EditRecord, SettingsTree, TreeEdit, TreeLog};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Cases of each property.
const CASES_PER_PROPERTY: u64 = 500;

fn check(property: impl quickcheck::Testable) {
    let random = Gen::from_size_and_seed(24, 0x5eed);
    QuickCheck::new()
        .rng(random)
        .tests(CASES_PER_PROPERTY)
        .quickcheck(property);
}

#[derive(Debug, Clone)]
struct Edit(TreeEdit);

impl Arbitrary for Edit {
    fn arbitrary(g: &mut Gen) -> Self {
        let names = ["root", "a", "b", "c", "d"];
        let id: OrganisationId = g.choose(&names).unwrap().parse().unwrap();
        let parent: OrganisationId = g.choose(&names).unwrap().parse().unwrap();
        let fields = ["weight", "deadline_ms", "max_in_flight", "limit_per_second"];
        let field = g.choose(&fields).unwrap().parse().unwrap();
        let value = u8::arbitrary(g).to_string();
        Self(match u8::arbitrary(g) % 8 {
            0..3 => TreeEdit::CreateOrganisation {
                id,
                parent,
                class: None,
                key_hash: None,
            },
            3 => TreeEdit::MoveOrganisation { id, parent },
            4 => TreeEdit::Suspend { id },
            5 => TreeEdit::Resume { id },
            6 => TreeEdit::Set { id, field, value },
            _ => TreeEdit::Unset { id, field },
        })
    }
}

/// JSON of an edit with one character replaced, and truncated.
fn damaged(text: &str, at: usize, with: char) -> [String; 2] {
    let mut characters: Vec<char> = text.chars().collect();
    let at = at % characters.len();
    let cut = characters[..at].iter().collect();
    characters[at] = with;
    [characters.into_iter().collect(), cut]
}

#[test]
fn an_accepted_edit_gives_a_valid_tree_that_survives_json() {
    fn property(edits: Vec<Edit>) -> bool {
        let mut tree = SettingsTree::empty();
        for Edit(edit) in edits {
            let Ok(next) = tree.apply(&edit) else {
                continue;
            };
            assert_eq!(next.version, tree.version.next());
            assert!(
                next.organisations
                    .keys()
                    .all(|id| next.effective(id).is_some())
            );
            assert_eq!(SettingsTree::from_json(next.to_json()).unwrap(), next);
            assert_eq!(TreeEdit::from_json(edit.to_json()).unwrap(), edit);
            tree = next;
        }
        true
    }
    check(property as fn(Vec<Edit>) -> bool);
}

#[test]
fn damaged_json_is_an_edit_or_an_error_with_a_code() {
    fn property(edit: Edit, at: usize, with: char, noise: String) -> bool {
        let Edit(edit) = edit;
        let [replaced, cut] = damaged(&edit.to_json(), at, with);
        for text in [replaced, cut, noise] {
            let read = TreeEdit::from_json(&text).and_then(|e| SettingsTree::empty().apply(&e));
            let tree = SettingsTree::from_json(&text);
            for error in read.err().into_iter().chain(tree.err()) {
                assert!(error.code().number() >= 5000);
                assert!(!error.to_string().is_empty());
            }
        }
        true
    }
    check(property as fn(Edit, usize, char, String) -> bool);
}

#[test]
fn no_sequence_of_replies_decreases_a_version() {
    fn property(edits: Vec<Edit>, requests: Vec<(u8, u8, bool)>) -> bool {
        let logs = history(edits);
        let mut log = logs[0].clone();
        for (ahead, since, is_whole) in requests {
            let before = log.version();
            let ahead = &logs[usize::from(ahead) % logs.len()];
            let since = TreeVersion::new(u64::from(since) % 8);
            let max_edits = if is_whole { 0 } else { 256 };
            let reply = ahead.clone().with_max_edits(max_edits).changes_since(since);
            let _ = log.apply_reply(reply);
            assert!(log.version() >= before);
            let step = usize::try_from(log.version().get()).unwrap();
            assert_eq!(log.current().tree(), logs[step].current().tree());
        }
        true
    }
    check(property as fn(Vec<Edit>, Vec<(u8, u8, bool)>) -> bool);
}

/// The log of one process after each accepted edit.
fn history(edits: Vec<Edit>) -> Vec<TreeLog> {
    let mut logs = vec![TreeLog::new(SettingsTree::empty()).unwrap()];
    for Edit(edit) in edits {
        let mut log = logs[logs.len() - 1].clone();
        let record = EditRecord {
            version: log.version().next(),
            edit,
            by: "a test".into(),
            write_id: format!("write-{}", log.version()).parse().unwrap(),
        };
        if log.apply_record(record).is_ok() {
            logs.push(log);
        }
    }
    logs
}

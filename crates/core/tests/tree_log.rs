//! A process applies only newer edits and trees, without gaps.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::{
    EditRecord, SettingsTree, TreeEdit, TreeLog, TreeLogError, TreeUpdate,
};
use amaranthscale_core::wire::TreeReply;

fn weight_edit(version: u64) -> EditRecord {
    EditRecord {
        version: TreeVersion::new(version),
        edit: TreeEdit::Set {
            id: "root".parse().unwrap(),
            field: "weight".parse().unwrap(),
            value: version.to_string(),
        },
        by: "a test".into(),
        write_id: format!("write-{version}").parse().unwrap(),
    }
}

fn log_at(version: u64) -> TreeLog {
    let mut log = TreeLog::new(SettingsTree::empty()).unwrap();
    for next in 1..=version {
        log.apply_record(weight_edit(next)).unwrap();
    }
    log
}

fn edits(records: impl IntoIterator<Item = EditRecord>) -> TreeReply {
    let edits = records.into_iter().map(|r| r.to_json()).collect();
    let after = TreeVersion::default();
    TreeReply::Edits { after, edits }
}

fn root_weight(log: &TreeLog) -> u32 {
    let root = "root".parse().unwrap();
    log.current()
        .organisation(&root)
        .unwrap()
        .weight
        .value
        .get()
}

#[test]
fn a_process_that_is_behind_catches_up_by_edits() {
    let ahead = log_at(5);
    let mut behind = log_at(2);

    let update = behind
        .apply_reply(ahead.changes_since(behind.version()))
        .unwrap();

    let (from, to) = (TreeVersion::new(2), TreeVersion::new(5));
    assert_eq!(update, TreeUpdate::Updated { from, to });
    assert_eq!(behind.current().tree(), ahead.current().tree());
    assert_eq!(ahead.changes_since(to), TreeReply::UpToDate(to));
}

#[test]
fn a_process_far_behind_gets_the_whole_tree() {
    let ahead = log_at(9).with_max_edits(3);
    let mut behind = log_at(2);

    let reply = ahead.changes_since(behind.version());
    behind.apply_reply(reply.clone()).unwrap();

    assert!(matches!(reply, TreeReply::Whole { .. }));
    assert_eq!(behind.version(), TreeVersion::new(9));
    let from_behind = behind.changes_since(TreeVersion::new(8));
    assert!(matches!(from_behind, TreeReply::Whole { .. }));
    let from_ahead = ahead.changes_since(TreeVersion::new(6));
    assert!(matches!(from_ahead, TreeReply::Edits { .. }));
}

/// An operator lowers a limit, and the edit is in force everywhere. An entry that was paused since
/// before the edit resumes and sends its old tree and edits. If they were applied, the limit would
/// have its old value again.
#[test]
fn an_older_tree_or_edit_is_never_applied() {
    let mut log = log_at(6);
    let paused = log_at(3).with_max_edits(0);
    let old_tree = paused.changes_since(TreeVersion::default());
    let old_edits = edits([weight_edit(2), weight_edit(3)]);

    let replies = [
        old_tree,
        old_edits,
        TreeReply::UpToDate(TreeVersion::new(3)),
    ];
    let update = replies.map(|reply| log.apply_reply(reply).unwrap());

    assert_eq!(update, [TreeUpdate::Unchanged; 3]);
    assert_eq!(log.version(), TreeVersion::new(6));
    assert_eq!(root_weight(&log), 6);
}

/// The reply with edit 4 is lost, and edit 5 arrives alone. If it were applied, the process would
/// be at version 5 and never get edit 4, which suspended an organisation.
#[test]
fn nothing_is_applied_across_a_gap() {
    let mut log = log_at(3);

    let alone = log.apply_reply(edits([weight_edit(5)])).unwrap_err();
    let later = log
        .apply_reply(edits([weight_edit(4), weight_edit(6)]))
        .unwrap_err();

    let gap = |have, got| TreeLogError::Gap(TreeVersion::new(have), TreeVersion::new(got));
    assert_eq!(alone, gap(3, 5));
    assert_eq!(later, gap(4, 6));
    assert_eq!(log.version(), TreeVersion::new(3));
    assert_eq!(root_weight(&log), 3);
}

#[test]
fn two_edits_under_one_version_are_reported() {
    let mut log = log_at(3);
    let mut other = weight_edit(3);
    other.write_id = "another".parse().unwrap();

    let error = log.apply_reply(edits([other])).unwrap_err();

    assert!(matches!(error, TreeLogError::Diverged(..)), "{error}");
}

#[test]
fn a_tree_must_have_the_version_of_its_reply() {
    let mut log = log_at(1);
    let tree = SettingsTree::empty().to_json();
    let version = TreeVersion::new(7);

    let error = log
        .apply_reply(TreeReply::Whole { version, tree })
        .unwrap_err();

    assert!(
        matches!(error, TreeLogError::VersionMismatch(..)),
        "{error}"
    );
    assert_eq!(error.code(), ResultCode::EditInvalid);
    assert_eq!(log.version(), TreeVersion::new(1));
}

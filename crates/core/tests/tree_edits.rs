//! Inheritance, sources of settings and validation of edits.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{RowVersion, TreeVersion};
use amaranthscale_core::version::{
    CompiledTree, EditRecord, KeyHash, Service, SettingsTree, TREE_SNAPSHOT_KEY, TreeEdit,
    TreeError,
};

fn edit(text: &str) -> TreeEdit {
    TreeEdit::from_json(text).unwrap()
}

fn tree_after(edits: &[&str]) -> SettingsTree {
    let apply = |tree: SettingsTree, text: &&str| tree.apply(&edit(text)).unwrap();
    edits.iter().fold(SettingsTree::empty(), apply)
}

/// A tree with mill below the root, and north and south below mill.
fn mill_tree() -> SettingsTree {
    tree_after(&[
        r#"{"kind":"create_organisation","id":"mill","parent":"root","class":"paid"}"#,
        r#"{"kind":"create_organisation","id":"north","parent":"mill"}"#,
        r#"{"kind":"create_organisation","id":"south","parent":"mill"}"#,
        r#"{"kind":"set","id":"mill","field":"limit_per_second","value":"40"}"#,
        r#"{"kind":"set","id":"north","field":"weight","value":"3"}"#,
    ])
}

fn with_pipeline() -> SettingsTree {
    let service = r#"{"kind":"put_service","id":"ledger","service":{"is_repeatable":true,
        "not_repeatable_paths":["/settlements"],"default_deadline_ms":5000}}"#;
    let pipeline = r#"{"kind":"put_pipeline","id":"intake","pipeline":{"stages":[
        {"name":"settle","service":"ledger","path":"/settlements","is_repeatable":false}]}}"#;
    let allow = r#"{"kind":"set","id":"root","field":"pipelines","value":"intake"}"#;
    tree_after(&[service, pipeline, allow])
}

fn edit_error(tree: &SettingsTree, text: &str) -> TreeError {
    tree.apply(&edit(text)).unwrap_err()
}

#[test]
fn each_value_has_the_organisation_that_sets_it() {
    let tree = mill_tree();

    let north = tree.effective(&"north".parse().unwrap()).unwrap();

    assert_eq!(north.weight.value.get(), 3);
    assert_eq!(north.weight.from.as_str(), "north");
    assert!((north.limit_per_second.value.get() - 40.0).abs() < f64::EPSILON);
    assert_eq!(north.limit_per_second.from.as_str(), "mill");
    assert_eq!(north.deadline_ms.from.as_str(), "root");
}

#[test]
fn an_unset_value_is_inherited_again() {
    let unset = r#"{"kind":"unset","id":"north","field":"weight"}"#;

    let tree = mill_tree().apply(&edit(unset)).unwrap();

    let north = tree.effective(&"north".parse().unwrap()).unwrap();
    assert_eq!(north.weight.from.as_str(), "root");
}

#[test]
fn a_suspension_applies_to_all_descendants_until_it_ends() {
    let suspend = edit(r#"{"kind":"suspend","id":"mill"}"#);
    let resume = edit(r#"{"kind":"resume","id":"mill"}"#);
    let south = "south".parse().unwrap();

    let suspended = mill_tree().apply(&suspend).unwrap();
    let resumed = suspended.apply(&resume).unwrap();

    let shown = suspended.effective(&south).unwrap().is_suspended;
    assert!(shown.value);
    assert_eq!(shown.from.as_str(), "mill");
    assert!(!resumed.effective(&south).unwrap().is_suspended.value);
}

#[test]
fn a_key_finds_its_organisation_by_scan_and_by_index() {
    let set_key = |id: &str| TreeEdit::SetKey {
        id: id.parse().unwrap(),
        key_hash: KeyHash::of(format!("key of {id}")),
    };
    let with_north = mill_tree().apply(&set_key("north")).unwrap();
    let tree = with_north.apply(&set_key("south")).unwrap();
    let compiled = CompiledTree::new(tree.clone()).unwrap();

    let scanned = tree.organisation_by_key("key of south").unwrap();
    let (indexed, effective) = compiled.caller("key of south").unwrap();

    assert_eq!(scanned.as_str(), "south");
    assert_eq!(*indexed, scanned);
    assert_eq!(effective.weight.from.as_str(), "root");
    assert!(compiled.caller("key of mill").is_none());
}

#[test]
fn a_cycle_is_refused() {
    let cycle = r#"{"kind":"move_organisation","id":"mill","parent":"north"}"#;

    let error = edit_error(&mill_tree(), cycle);

    assert!(matches!(error, TreeError::Cycle(..)), "{error}");
    assert_eq!(error.code(), ResultCode::EditInvalid);
}

#[test]
fn invalid_edits_are_refused_with_the_reason() {
    let create = |id: &str, parent: &str| {
        format!(r#"{{"kind":"create_organisation","id":"{id}","parent":"{parent}"}}"#)
    };
    let set = |field: &str, value: &str| {
        format!(r#"{{"kind":"set","id":"mill","field":"{field}","value":"{value}"}}"#)
    };
    let unset_root = r#"{"kind":"unset","id":"root","field":"weight"}"#;
    let move_root = r#"{"kind":"move_organisation","id":"root","parent":"mill"}"#;
    let refused = [
        (r#"{"kind":"suspend","id":"root"}"#.into(), "suspended"),
        (r#"{"kind":"suspend","id":"west"}"#.into(), "west"),
        (unset_root.into(), "root has no weight"),
        (move_root.into(), "moved"),
        (create("mill", "root"), "exists"),
        (create("west", "east"), "parent east"),
        (set("limit_per_second", "0"), "\"0\""),
        (set("limit_per_second", "inf"), "\"inf\""),
        (set("max_in_flight", "0"), "max_in_flight"),
        (set("weight", "0"), "weight"),
        (set("deadline_ms", "86400001"), "86400001"),
        (set("pipelines", "absent"), "absent"),
        (set("class", "gold"), "paid or trial"),
    ];
    let tree = mill_tree();
    for (text, part) in refused {
        let error = edit_error(&tree, &text).to_string();
        assert!(error.contains(part), "{text}: {error}");
    }
}

#[test]
fn pipelines_and_services_are_validated_together() {
    let stage = |name: &str, path: &str, rest: &str| {
        format!(r#"{{"name":"{name}","service":"ledger","path":"{path}","is_repeatable":{rest}}}"#)
    };
    let put = |stages: &[String]| {
        let stages = stages.join(",");
        format!(r#"{{"kind":"put_pipeline","id":"p","pipeline":{{"stages":[{stages}]}}}}"#)
    };
    let sum = stage("sum", "/sums", "true");
    let streaming = stage("first", "/sums", r#"true,"is_streaming":true"#);
    let remove_service = r#"{"kind":"remove_service","id":"ledger"}"#;
    let remove_pipeline = r#"{"kind":"remove_pipeline","id":"intake"}"#;
    let pay = stage("pay", "/settlements/new", "true");
    let refused = [
        (put(&[]), "0 stages"),
        (put(&vec![sum.clone(); 9]), "9 stages"),
        (put(&[sum.clone(), sum.clone()]), "two stages named sum"),
        (put(&[streaming, sum]), "streams"),
        (put(&[pay]), "is_repeatable to false"),
        (put(&[stage("dots", "/a/../b", "true")]), "/a/../b"),
        (remove_service.into(), "pipeline intake"),
        (remove_pipeline.into(), "organisation root"),
    ];
    let tree = with_pipeline();
    for (text, part) in refused {
        let error = edit_error(&tree, &text).to_string();
        assert!(error.contains(part), "{text}: {error}");
    }
}

/// A service lists "/settlements" as not repeatable, and a call requests "/x/../settlements". If it
/// counted as repeatable, its answer could be lost, the entry would retry it, and a grower would be
/// paid twice, because the backend server interprets the path differently.
#[test]
fn an_ambiguous_path_is_never_repeatable() {
    let ledger = Service::repeatable().except("/settlements");
    let ambiguous = [
        "/x/../settlements",
        "/%73ettlements",
        "//settlements",
        "/./settlements",
        "/Settlements/1",
        "/settlements/",
        "/settlements?x=1",
        "/settlements;v=1",
        "\\settlements",
        "settlements",
    ];
    for path in ambiguous {
        assert!(!ledger.allows_repeat(path), "{path}");
    }
    assert!(ledger.allows_repeat("/settlements-report"));
}

#[test]
fn an_import_continues_from_the_version_in_force() {
    let tree = mill_tree();
    let import = TreeEdit::Import {
        tree: Box::new(with_pipeline()),
    };

    let imported = tree.apply(&import).unwrap();

    assert_eq!(imported.version, tree.version.next());
    assert!(imported.effective(&"mill".parse().unwrap()).is_none());
}

#[test]
fn every_sixty_fourth_edit_stores_the_whole_tree() {
    let record = |version: u64| EditRecord {
        version: TreeVersion::new(version),
        edit: edit(r#"{"kind":"resume","id":"root"}"#),
        by: "a test".into(),
        write_id: "w1".parse().unwrap(),
    };
    let head = RowVersion::new(9);

    let plain = record(63).transaction(head, &mill_tree());
    let snapshot = record(64).transaction(head, &mill_tree());

    assert_eq!(plain.writes.len(), 2);
    assert_eq!(plain.writes[0].key, "tree/edit/00000000000000000063");
    assert_eq!(snapshot.writes[2].key, TREE_SNAPSHOT_KEY);
    assert_eq!(snapshot.checks[0].version, head);
}

#[test]
fn a_zone_is_evacuated_until_it_is_taken_back() {
    let evacuate = r#"{"kind":"evacuate_zone","zone":"mill-office"}"#;
    let take_back = r#"{"kind":"take_back_zone","zone":"mill-office"}"#;

    let evacuated = tree_after(&[evacuate]);
    let again = SettingsTree::from_json(evacuated.to_json()).unwrap();
    let back = evacuated.apply(&edit(take_back)).unwrap();

    assert_eq!(again.evacuated_zones, evacuated.evacuated_zones);
    assert!(
        evacuated
            .evacuated_zones
            .contains(&"mill-office".parse().unwrap())
    );
    assert!(back.evacuated_zones.is_empty());
    for (tree, text) in [(&evacuated, evacuate), (&back, take_back)] {
        let refused = edit_error(tree, text);
        assert_eq!(refused.code(), ResultCode::EditInvalid);
        assert!(refused.to_string().contains("mill-office"), "{refused}");
    }
    // A tree without evacuated zones has no such field, for processes that do not know it.
    assert!(!back.to_json().contains("evacuated"));
}

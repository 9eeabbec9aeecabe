//! The examples load, and their public keys match the hashes in their files.

use std::fs;

use amaranthscale::process::settings::{EntrySettings, SidecarSettings};
use amaranthscale_core::id::ServiceId;
use amaranthscale_core::version::{CompiledTree, KeyHash, SettingsTree};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn example(directory: &str, file: &str) -> String {
    let path = format!("{EXAMPLES}/{directory}/{file}");
    fs::read_to_string(&path).expect(&path)
}

fn compiled(directory: &str) -> CompiledTree {
    let tree = SettingsTree::from_json(example(directory, "tree.json"));
    CompiledTree::new(tree.expect(directory)).expect(directory)
}

/// Keys of the table in an example's page, by organisation.
fn keys(directory: &str) -> Vec<(String, String)> {
    let page = example(directory, "README.md");
    let rows = page.lines().filter(|line| line.contains("| demo-"));
    let cells = rows.map(|row| row.split('|').map(|cell| cell.trim().to_owned()).collect());
    cells
        .map(|cells: Vec<String>| (cells[1].clone(), cells[3].clone()))
        .collect()
}

#[test]
fn every_published_key_belongs_to_its_organisation() {
    for directory in ["delta-basin", "cedarline"] {
        let compiled = compiled(directory);
        let keys = keys(directory);
        let ((_, operator), callers) = keys.split_last().unwrap();
        assert_eq!(callers.len(), 5);
        for (organisation, key) in callers {
            let (caller, _) = compiled.caller(key).expect(organisation);
            assert_eq!(caller.as_str(), organisation);
        }
        let entry = EntrySettings::parse("entry.ini", example(directory, "entry.ini")).unwrap();
        assert_eq!(entry.operator_key_hash, Some(KeyHash::of(operator)));
    }
}

#[test]
fn every_settings_file_is_valid_and_names_a_service_of_its_tree() {
    for directory in ["delta-basin", "cedarline"] {
        let compiled = compiled(directory);
        let files = fs::read_dir(format!("{EXAMPLES}/{directory}")).unwrap();
        let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
        let sidecars: Vec<_> = names.filter(|name| name.starts_with("sidecar-")).collect();
        assert_eq!(sidecars.len(), 2);
        for name in sidecars {
            let settings = SidecarSettings::parse(&name, example(directory, &name)).unwrap();
            assert!(compiled.service(&settings.service).is_some(), "{name}");
        }
    }
}

#[test]
fn settlements_and_placement_notices_are_not_repeatable() {
    let calls = [
        ("delta-basin", "grower-ledger", "/settlements"),
        ("cedarline", "notify-svc", "/placement-notices"),
    ];
    for (directory, service, path) in calls {
        let service: ServiceId = service.parse().unwrap();
        assert!(
            !compiled(directory)
                .service(&service)
                .unwrap()
                .allows_repeat(path)
        );
    }
}

//! Edits requested by commands.

use std::path::PathBuf;

use amaranthscale_core::id::{OrganisationId, TreeVersion};
use amaranthscale_core::version::{KeyHash, SettingsTree, TreeEdit};
use clap::ArgMatches;

use super::CtlError;
use super::arguments::{read_json, read_key, required};

/// An edit requested by a command.
#[derive(Debug)]
pub(super) struct PlannedEdit {
    /// The change.
    pub(super) edit: TreeEdit,
    /// Version that the edit must be based on; `None` for the one in force.
    pub(super) base_version: Option<TreeVersion>,
    /// Generated key, which is printed once.
    pub(super) new_key: Option<String>,
}

impl PlannedEdit {
    /// The edit of a command; `None` if the command only reads.
    pub(super) fn of(
        group: &str,
        name: &str,
        matches: &ArgMatches,
    ) -> Result<Option<Self>, CtlError> {
        let organisation = || required::<OrganisationId>(matches, "organisation");
        let edit = match (group, name) {
            ("tree", "set") => TreeEdit::Set {
                id: organisation(),
                field: required(matches, "field"),
                value: required(matches, "value"),
            },
            ("tree", "unset") => TreeEdit::Unset {
                id: organisation(),
                field: required(matches, "field"),
            },
            ("tree", "import") => return import(matches).map(Some),
            ("organisation", "create") => return create(matches).map(Some),
            ("organisation", "set-key") => return set_key(matches).map(Some),
            ("organisation", "move") => TreeEdit::MoveOrganisation {
                id: organisation(),
                parent: required(matches, "parent"),
            },
            ("organisation", "suspend") => TreeEdit::Suspend { id: organisation() },
            ("organisation", "resume") => TreeEdit::Resume { id: organisation() },
            ("pipeline", "put") => TreeEdit::PutPipeline {
                id: required(matches, "id"),
                pipeline: read_json(&required::<PathBuf>(matches, "file"), "pipeline")?,
            },
            ("pipeline", "remove") => TreeEdit::RemovePipeline {
                id: required(matches, "id"),
            },
            ("service", "put") => TreeEdit::PutService {
                id: required(matches, "id"),
                service: read_json(&required::<PathBuf>(matches, "file"), "service")?,
            },
            ("service", "remove") => TreeEdit::RemoveService {
                id: required(matches, "id"),
            },
            ("zone", "evacuate") => TreeEdit::EvacuateZone {
                zone: required(matches, "zone"),
            },
            ("zone", "take-back") => TreeEdit::TakeBackZone {
                zone: required(matches, "zone"),
            },
            _ => return Ok(None),
        };
        Ok(Some(Self::on_current_tree(edit)))
    }

    fn on_current_tree(edit: TreeEdit) -> Self {
        Self {
            edit,
            base_version: None,
            new_key: None,
        }
    }
}

// An import must not undo accepted edits that others made after the file was exported. The file
// contains the version of its export, and without --overwrite only that version is replaced.
fn import(matches: &ArgMatches) -> Result<PlannedEdit, CtlError> {
    let tree: SettingsTree = read_json(&required::<PathBuf>(matches, "file"), "tree")?;
    let base_version = (!matches.get_flag("overwrite")).then_some(tree.version);
    Ok(PlannedEdit {
        base_version,
        ..PlannedEdit::on_current_tree(TreeEdit::Import {
            tree: Box::new(tree),
        })
    })
}

fn create(matches: &ArgMatches) -> Result<PlannedEdit, CtlError> {
    let (key_hash, new_key) = caller_key(matches)?;
    Ok(PlannedEdit {
        new_key,
        ..PlannedEdit::on_current_tree(TreeEdit::CreateOrganisation {
            id: required(matches, "organisation"),
            parent: required(matches, "parent"),
            class: matches.get_one("class").copied(),
            key_hash: Some(key_hash),
        })
    })
}

fn set_key(matches: &ArgMatches) -> Result<PlannedEdit, CtlError> {
    let (key_hash, new_key) = caller_key(matches)?;
    Ok(PlannedEdit {
        new_key,
        ..PlannedEdit::on_current_tree(TreeEdit::SetKey {
            id: required(matches, "organisation"),
            key_hash,
        })
    })
}

/// Hash of the key in the given file, or a newly generated key and its hash.
fn caller_key(matches: &ArgMatches) -> Result<(KeyHash, Option<String>), CtlError> {
    if let Some(path) = matches.get_one::<PathBuf>("caller-key-file") {
        return Ok((KeyHash::of(read_key(path)?), None));
    }
    let key = new_key();
    Ok((KeyHash::of(&key), Some(key)))
}

/// Generates a key of 256 random bits.
fn new_key() -> String {
    let [high, low]: [u128; 2] = rand::random();
    format!("{high:032x}{low:032x}")
}

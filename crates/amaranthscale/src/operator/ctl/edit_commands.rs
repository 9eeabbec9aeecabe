//! The edits that commands ask for.

use std::path::PathBuf;

use amaranthscale_core::id::{OrganisationId, TreeVersion};
use amaranthscale_core::version::{KeyHash, SettingsTree, TreeEdit};
use clap::ArgMatches;

use super::CtlError;
use super::arguments::{read_json, read_key, required};

/// An edit that a command asks for.
#[derive(Debug)]
pub(super) struct PlannedEdit {
    /// What to change.
    pub(super) edit: TreeEdit,
    /// Version that the edit was made from; none for the one in force.
    pub(super) from_version: Option<TreeVersion>,
    /// Key that was made here, to be printed once.
    pub(super) new_key: Option<String>,
}

impl PlannedEdit {
    /// The edit of a command; none if the command only reads.
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
        Ok(Some(Self::on_tree_in_force(edit)))
    }

    fn on_tree_in_force(edit: TreeEdit) -> Self {
        Self {
            edit,
            from_version: None,
            new_key: None,
        }
    }
}

// Failure: an operator exports the tree, works on the file, and imports it an hour later; the
// edits that others made meanwhile vanish, though they were accepted. Guard: the file carries
// the version of its export, and unless --overwrite is given only that version is replaced.
fn import(matches: &ArgMatches) -> Result<PlannedEdit, CtlError> {
    let tree: SettingsTree = read_json(&required::<PathBuf>(matches, "file"), "tree")?;
    let from_version = (!matches.get_flag("overwrite")).then_some(tree.version);
    Ok(PlannedEdit {
        from_version,
        ..PlannedEdit::on_tree_in_force(TreeEdit::Import {
            tree: Box::new(tree),
        })
    })
}

fn create(matches: &ArgMatches) -> Result<PlannedEdit, CtlError> {
    let (key_hash, new_key) = caller_key(matches)?;
    Ok(PlannedEdit {
        new_key,
        ..PlannedEdit::on_tree_in_force(TreeEdit::CreateOrganisation {
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
        ..PlannedEdit::on_tree_in_force(TreeEdit::SetKey {
            id: required(matches, "organisation"),
            key_hash,
        })
    })
}

/// The hash of the key in the named file, or of a new key together with that key.
fn caller_key(matches: &ArgMatches) -> Result<(KeyHash, Option<String>), CtlError> {
    if let Some(path) = matches.get_one::<PathBuf>("caller-key-file") {
        return Ok((KeyHash::of(read_key(path)?), None));
    }
    let key = new_key();
    Ok((KeyHash::of(&key), Some(key)))
}

/// A key of 256 random bits, which cannot be guessed.
fn new_key() -> String {
    let [high, low]: [u128; 2] = rand::random();
    format!("{high:032x}{low:032x}")
}

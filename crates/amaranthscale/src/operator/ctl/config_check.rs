//! The command `config check`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::CtlError;
use super::arguments::{read_text, required};
use crate::process::settings::{EntrySettings, SidecarSettings};

/// Checks a settings file and returns the text to print if it is valid.
pub(super) fn check(matches: &ArgMatches) -> Result<String, CtlError> {
    let path: PathBuf = required(matches, "file");
    let kind: String = required(matches, "kind");
    let name = path.display().to_string();
    let text = read_text(&path)?;
    if kind == "entry" {
        EntrySettings::parse(&name, text)?;
    } else {
        SidecarSettings::parse(&name, text)?;
    }
    Ok(format!("{name}: these settings of {kind} hold\n"))
}

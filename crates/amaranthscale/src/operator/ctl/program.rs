//! Entry points of the program.

use std::ffi::OsString;
use std::io::{Write, stderr, stdout};

use amaranthscale_core::id::{OrganisationId, TreeVersion};
use amaranthscale_core::version::{EffectiveSettings, OverrideField, SettingsTree, TreeError};
use clap::ArgMatches;
use clap_complete::Shell;
use serde::Serialize;
use serde_json::json;

use super::arguments::{client, editor, required};
use super::command::{PROGRAM, command};
use super::edit_commands::PlannedEdit;
use super::submit::submit;
use super::{
    CtlError, EntryClient, ExitStatus, config_check, explain_call, gateway_commands, render,
};

/// Runs the program: prints the result of a command and returns the exit status.
///
/// For help and usage errors clap exits the process, with 0 and 2.
pub async fn run_program(
    arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>,
) -> ExitStatus {
    let matches = command().get_matches_from(arguments);
    // A closed output, such as a pager that was quit, is not an error of the command.
    match run(&matches).await {
        Ok(text) => {
            let _ = stdout().write_all(text.as_bytes());
            ExitStatus::Done
        }
        Err(error) => {
            let _ = writeln!(stderr(), "{}", error_text(&matches, &error));
            error.exit_status()
        }
    }
}

/// Runs one command and returns the text to print.
pub async fn run(matches: &ArgMatches) -> Result<String, CtlError> {
    let Some((group, group_matches)) = matches.subcommand() else {
        return Ok(command().render_help().to_string());
    };
    let (name, leaf) = group_matches.subcommand().unwrap_or((group, group_matches));
    match (group, name) {
        ("config", _) => return config_check::check(leaf),
        ("gateway", _) => return gateway_commands::run(name, leaf).await,
        ("explain", _) => return explain_call::explain(group_matches),
        ("completions", _) => return Ok(completion_script(required(leaf, "shell"))),
        _ => {}
    }
    let planned = PlannedEdit::of(group, name, leaf)?;
    let client = client(leaf)?;
    match planned {
        Some(planned) => run_edit(leaf, &client, &planned).await,
        None => run_query(name, leaf, &client).await,
    }
}

async fn run_edit(
    matches: &ArgMatches,
    client: &EntryClient,
    planned: &PlannedEdit,
) -> Result<String, CtlError> {
    let accepted = submit(client, planned, editor(matches)).await?;
    if is_json(matches) {
        let key = planned.new_key.as_ref();
        return Ok(as_json(&json!({ "version": accepted.version, "key": key })));
    }
    let (edit, version) = (&planned.edit, accepted.version);
    let key = planned.new_key.as_ref();
    let key = key.map(|key| format!("key of the callers, shown only now: {key}\n"));
    let key = key.unwrap_or_default();
    Ok(format!("{edit}: version {version} is in force\n{key}"))
}

async fn run_query(
    name: &str,
    matches: &ArgMatches,
    client: &EntryClient,
) -> Result<String, CtlError> {
    match name {
        "get" => get(matches, &client.tree().await?),
        "export" => Ok(as_json(&client.tree().await?)),
        "history" => {
            let since: TreeVersion = required(matches, "since");
            let edits = client.edits(since).await?;
            Ok(formatted(matches, &edits, |edits| render::history(edits)))
        }
        "status" => Ok(formatted(matches, &client.status().await?, render::status)),
        "cost" => Ok(formatted(matches, &client.cost().await?, |lines| {
            render::cost(lines)
        })),
        _ => show(matches, &client.tree().await?),
    }
}

fn show(matches: &ArgMatches, tree: &SettingsTree) -> Result<String, CtlError> {
    let Some(id) = matches.get_one::<OrganisationId>("effective") else {
        return Ok(formatted(matches, tree, render::tree));
    };
    let effective = effective(tree, id)?;
    Ok(formatted(matches, &effective, render::effective))
}

fn get(matches: &ArgMatches, tree: &SettingsTree) -> Result<String, CtlError> {
    let field: OverrideField = required(matches, "field");
    let effective = effective(tree, &required(matches, "organisation"))?;
    let (value, from) = render::field(&effective, field);
    if is_json(matches) {
        return Ok(as_json(&json!({ "value": value, "from": from })));
    }
    Ok(format!("{value}\n"))
}

fn effective(tree: &SettingsTree, id: &OrganisationId) -> Result<EffectiveSettings, CtlError> {
    let unknown = || TreeError::NoSuchOrganisation(id.clone());
    Ok(tree.effective(id).ok_or_else(unknown)?)
}

fn completion_script(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), PROGRAM, &mut script);
    String::from_utf8_lossy(&script).into_owned()
}

pub(super) fn formatted<T: Serialize>(
    matches: &ArgMatches,
    value: &T,
    text: impl Fn(&T) -> String,
) -> String {
    if is_json(matches) {
        as_json(value)
    } else {
        text(value)
    }
}

/// Serialises a value as indented JSON with a line end.
///
/// # Panics
///
/// Panics if a message cannot be represented as JSON, which is a bug.
pub(super) fn as_json(value: &impl Serialize) -> String {
    let text = serde_json::to_string_pretty(value);
    text.expect("messages hold only what JSON can carry") + "\n"
}

pub(super) fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn error_text(matches: &ArgMatches, error: &CtlError) -> String {
    if is_json(matches) {
        error.to_json().to_string()
    } else {
        format!("{PROGRAM}: {error}")
    }
}

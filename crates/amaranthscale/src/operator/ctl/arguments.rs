//! Values, files and keys from the arguments of a command.

use std::fs;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use hyper::header::HeaderValue;
use serde::de::DeserializeOwned;

use super::{CtlError, EntryAddress, EntryClient};

/// Value of a required argument.
///
/// # Panics
///
/// Panics if the argument is not declared as required, which is a bug.
pub(super) fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> T {
    let value = matches.get_one::<T>(id);
    value
        .cloned()
        .unwrap_or_else(|| panic!("the command line requires {id}"))
}

/// Client of the entry given by the options.
pub(super) fn client(matches: &ArgMatches) -> Result<EntryClient, CtlError> {
    let entry = matches.get_one::<EntryAddress>("entry").copied();
    let entry = entry.ok_or(CtlError::MissingOption("--entry", "10.0.0.1:8080"))?;
    let key_file = matches.get_one::<PathBuf>("key-file");
    let key_file = key_file.ok_or(CtlError::MissingOption("--key-file", "operator.key"))?;
    let key = read_key(key_file)?;
    let header = HeaderValue::try_from(format!("Bearer {key}")).ok();
    let header = header.ok_or_else(|| CtlError::KeyFile(key_file.clone()))?;
    Ok(EntryClient::new(entry, header))
}

/// Name under which an edit is recorded.
pub(super) fn editor(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>("by").cloned();
    let from_login = || std::env::var("USER").ok();
    let unnamed = || "unnamed".to_owned();
    given.or_else(from_login).unwrap_or_else(unnamed)
}

/// Reads the key in the first line of a file.
pub(super) fn read_key(path: &Path) -> Result<String, CtlError> {
    let text = read_text(path)?;
    let key = text.lines().next().unwrap_or_default().trim();
    let is_key = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    if is_key {
        Ok(key.to_owned())
    } else {
        Err(CtlError::KeyFile(path.to_owned()))
    }
}

/// Reads a file as text.
pub(super) fn read_text(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|cause| CtlError::File(path.to_owned(), cause))
}

/// Reads a file as JSON.
pub(super) fn read_json<T: DeserializeOwned>(
    path: &Path,
    expected: &'static str,
) -> Result<T, CtlError> {
    let text = read_text(path)?;
    let content = |cause: serde_json::Error| {
        CtlError::FileContent(path.to_owned(), expected, cause.to_string())
    };
    serde_json::from_str(&text).map_err(content)
}

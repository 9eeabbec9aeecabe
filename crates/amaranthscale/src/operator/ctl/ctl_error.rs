//! Why a command did not do what was asked.

use std::io;
use std::path::PathBuf;

use amaranthscale_core::ResultCode;
use amaranthscale_core::version::TreeError;
use quick_error::quick_error;
use serde_json::{Value, json};

use super::{EntryAddress, ExitStatus};
use crate::operator::{EditConflict, Refusal};
use crate::process::settings::SettingsError;

quick_error! {
    /// A command that did not do what was asked.
    #[derive(Debug)]
    pub enum CtlError {
        /// An option that the command needs.
        MissingOption(option: &'static str, example: &'static str) {
            display("{option} is missing: give it, such as {option} {example}")
        }
        /// A file that cannot be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("file {path:?} cannot be used: {cause}")
            source(cause)
        }
        /// A file that does not hold what the command needs.
        FileContent(path: PathBuf, wanted: &'static str, cause: String) {
            display("file {path:?} holds no {wanted}: {cause}")
        }
        /// A file without a usable key.
        KeyFile(path: PathBuf) {
            display("file {path:?} holds no key: write the key alone, in printable ASCII, in its first line")
        }
        /// Refused by the check on the tree just fetched.
        Check(cause: TreeError) {
            display("{}: {cause}", cause.code().number())
            source(cause)
            from()
        }
        /// A settings file that cannot be used.
        Settings(cause: SettingsError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// Refused by the entry.
        Refused(refusal: Refusal) {
            display("{refusal}")
        }
        /// Another edit came first.
        Conflict(conflict: Box<EditConflict>) {
            display("{conflict}\nLook at tree show, and make the edit again if it still fits.")
        }
        /// The tree has changed since the file was exported.
        StaleFile(conflict: Box<EditConflict>) {
            display("{conflict}\nExport the tree again and repeat your changes, or import with --overwrite to undo these edits.")
        }
        /// The call did not reach the entry, or reading failed.
        Unreachable(entry: EntryAddress, cause: String) {
            display("entry {entry} cannot be reached: {cause}: try another entry")
        }
        /// The entry answered with something else than it should.
        Unreadable(entry: EntryAddress, status: u16, cause: String) {
            display("entry {entry} answered with status {status} and no readable body: {cause}: check the address")
        }
        /// An edit was sent and its outcome could not be learned.
        EditUnknown(entry: EntryAddress, cause: String) {
            display("{}: {cause}: look at tree history at another entry than {entry} before you make the edit again", ResultCode::EditUnknown)
        }
        /// The operator's key is wrong.
        WrongKey(entry: EntryAddress) {
            display("{}: entry {entry} does not take the key: check --key-file", ResultCode::WrongOperatorKey)
        }
    }
}

impl CtlError {
    /// How the program ends with this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::MissingOption(..)
            | Self::File(..)
            | Self::FileContent(..)
            | Self::KeyFile(..) => ExitStatus::Usage,
            Self::Check(_) | Self::Settings(_) | Self::Refused(_) => ExitStatus::Refused,
            Self::Conflict(_) | Self::StaleFile(_) => ExitStatus::Conflict,
            Self::Unreachable(..) | Self::Unreadable(..) | Self::EditUnknown(..) => {
                ExitStatus::Unreachable
            }
            Self::WrongKey(_) => ExitStatus::WrongKey,
        }
    }

    /// Whether an edit that met this error may have taken effect.
    #[must_use]
    pub fn leaves_edit_open(&self) -> bool {
        match self {
            Self::Unreachable(..) | Self::Unreadable(..) | Self::EditUnknown(..) => true,
            Self::Refused(refusal) => refusal.code == ResultCode::EditUnknown,
            _ => false,
        }
    }

    /// The numbered code, where the error has one.
    #[must_use]
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Check(cause) => Some(cause.code()),
            Self::Refused(refusal) => Some(refusal.code),
            Self::Conflict(conflict) | Self::StaleFile(conflict) => Some(conflict.code),
            Self::EditUnknown(..) => Some(ResultCode::EditUnknown),
            Self::WrongKey(_) => Some(ResultCode::WrongOperatorKey),
            _ => None,
        }
    }

    /// The error for scripts.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match self {
            Self::Conflict(conflict) | Self::StaleFile(conflict) => json!(conflict),
            _ => json!({ "code": self.code(), "text": self.to_string() }),
        }
    }
}

//! Errors of commands.

use std::io;
use std::path::PathBuf;

use amaranthscale_core::ResultCode;
use amaranthscale_core::version::TreeError;
use quick_error::quick_error;
use serde_json::{Value, json};

use super::{EntryAddress, ExitStatus, GatewayAddress};
use crate::operator::{EditConflict, Refusal};
use crate::process::settings::SettingsError;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// A required option is missing.
        MissingOption(option: &'static str, example: &'static str) {
            display("{option} is missing: give it, such as {option} {example}")
        }
        /// A file cannot be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("file {path:?} cannot be used: {cause}")
            source(cause)
        }
        /// A file does not contain what the command needs.
        FileContent(path: PathBuf, expected: &'static str, cause: String) {
            display("file {path:?} holds no {expected}: {cause}")
        }
        /// A file does not contain a usable key.
        KeyFile(path: PathBuf) {
            display("file {path:?} holds no key: write the key alone, in printable ASCII, in its first line")
        }
        /// The edit is not valid for the tree just fetched.
        Check(cause: TreeError) {
            display("{}: {cause}", cause.code().number())
            source(cause)
            from()
        }
        /// A settings file is not valid.
        Settings(cause: SettingsError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The entry refused the call.
        Refused(refusal: Refusal) {
            display("{refusal}")
        }
        /// Another edit was made first.
        Conflict(conflict: Box<EditConflict>) {
            display("{conflict}\nLook at tree show, and make the edit again if it still fits.")
        }
        /// The tree has changed since the file was exported.
        StaleFile(conflict: Box<EditConflict>) {
            display("{conflict}\nExport the tree again and repeat your changes, or import with --overwrite to undo these edits.")
        }
        /// The entry cannot be reached, or reading its answer failed.
        Unreachable(entry: EntryAddress, cause: String) {
            display("entry {entry} cannot be reached: {cause}: try another entry")
        }
        /// The entry's answer cannot be parsed.
        Unreadable(entry: EntryAddress, status: u16, cause: String) {
            display("entry {entry} answered with status {status} and no readable body: {cause}: check the address")
        }
        /// An edit was sent and its outcome is unknown.
        EditUnknown(entry: EntryAddress, cause: String) {
            display("{}: {cause}: look at tree history at another entry than {entry} before you make the edit again", ResultCode::EditUnknown)
        }
        /// The gateway cannot be reached, or gave no answer to a query.
        GatewayUnreachable(gateway: GatewayAddress, cause: String) {
            display("gateway {gateway} cannot be reached: {cause}: try another gateway, and check that it serves metrics at this address")
        }
        /// The gateway's answer cannot be parsed.
        GatewayUnreadable(gateway: GatewayAddress, status: u16, cause: String) {
            display("gateway {gateway} answered with status {status} and no readable body: {cause}: check that it serves metrics at this address, and that its version knows the command")
        }
        /// The gateway refused the call; nothing has changed.
        GatewayRefused(text: String) {
            display("{text}")
        }
        /// The gateway could not make a change; nothing has changed.
        GatewayChangeNotDone(gateway: GatewayAddress, text: String) {
            display("gateway {gateway}: {text}")
        }
        /// A change was sent to a gateway and its outcome is unknown.
        GatewayChangeUnknown(gateway: GatewayAddress, cause: String, look_at: &'static str) {
            display("the change may have happened: {cause}: look at {look_at} at another gateway than {gateway}; the command may be repeated")
        }
        /// The operator's key is wrong.
        WrongKey(entry: EntryAddress) {
            display("{}: entry {entry} does not take the key: check --key-file", ResultCode::WrongOperatorKey)
        }
    }
}

impl CtlError {
    /// Exit status of the program for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::MissingOption(..)
            | Self::File(..)
            | Self::FileContent(..)
            | Self::KeyFile(..) => ExitStatus::Usage,
            Self::Check(_) | Self::Settings(_) | Self::Refused(_) | Self::GatewayRefused(_) => {
                ExitStatus::Refused
            }
            Self::Conflict(_) | Self::StaleFile(_) => ExitStatus::Conflict,
            Self::Unreachable(..)
            | Self::Unreadable(..)
            | Self::EditUnknown(..)
            | Self::GatewayUnreachable(..)
            | Self::GatewayUnreadable(..)
            | Self::GatewayChangeNotDone(..)
            | Self::GatewayChangeUnknown(..) => ExitStatus::Unreachable,
            Self::WrongKey(_) => ExitStatus::WrongKey,
        }
    }

    /// Whether an edit that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable(..)
            | Self::Unreadable(..)
            | Self::EditUnknown(..)
            | Self::GatewayUnreadable(..)
            | Self::GatewayChangeUnknown(..) => true,
            Self::Refused(refusal) => refusal.code == ResultCode::EditUnknown,
            _ => false,
        }
    }

    /// Result code, if the error has one.
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

    /// The error as JSON, for scripts.
    #[must_use]
    pub fn to_json(&self) -> Value {
        match self {
            Self::Conflict(conflict) | Self::StaleFile(conflict) => json!(conflict),
            _ => json!({ "code": self.code(), "text": self.to_string() }),
        }
    }
}

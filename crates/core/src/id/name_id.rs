//! Identifiers that are short names.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Longest accepted name. Names are parts of table keys, whose length is limited.
const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Error for a name that is not a valid identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidName {
        /// The name is empty.
        Empty(kind: &'static str) {
            display("{kind} is empty: give 1 to {MAX_NAME_BYTES} characters")
        }
        /// The name is longer than the longest accepted one.
        TooLong(kind: &'static str, length_bytes: usize) {
            display("{kind} has {length_bytes} bytes: give at most {MAX_NAME_BYTES}")
        }
        /// The name contains a character that is not accepted.
        BadCharacter(kind: &'static str, name: String, character: char) {
            display("{kind} {name:?} holds {character:?}: use letters, digits, '-', '_', '.' and ':'")
        }
    }
}

fn check_name(kind: &'static str, name: &str) -> Result<(), InvalidName> {
    if name.is_empty() {
        return Err(InvalidName::Empty(kind));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(InvalidName::TooLong(kind, name.len()));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    match name.chars().find(|c| !is_allowed(*c)) {
        Some(character) => Err(InvalidName::BadCharacter(kind, name.to_owned(), character)),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier from a valid name.
            pub fn new(name: impl Into<String>) -> Result<Self, InvalidName> {
                let name = name.into();
                check_name($kind, &name)?;
                Ok(Self(name))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(name: &str) -> Result<Self, InvalidName> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(name: String) -> Result<Self, InvalidName> {
                Self::new(name)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

name_id!(
    /// A host of the platform.
    HostId, "host");
name_id!(
    /// A customer's organisation.
    OrganisationId, "organisation");
name_id!(
    /// A pipeline of stages.
    PipelineId, "pipeline");
name_id!(
    /// A group of interchangeable backend servers.
    ServiceId, "service");
name_id!(
    /// A stage within a pipeline.
    StageName, "stage");
name_id!(
    /// A model that an engine can load.
    ModelId, "model");
name_id!(
    /// An availability zone.
    ZoneId, "availability zone");
name_id!(
    /// A region of availability zones.
    RegionId, "region");
name_id!(
    /// The key that a caller gives to a non-repeatable call.
    IdempotencyKey, "idempotency key");
name_id!(
    /// Identifies one conditional write, so that a row shows which write it comes from.
    WriteId, "write id");
name_id!(
    /// A backend server; it may stay the same after a restart, unlike [`super::ServerIncarnation`].
    ServerId, "backend server");
name_id!(
    /// A route from a host name and path to a service.
    RouteId, "route");
name_id!(
    /// One call, as named by its caller.
    CallId, "call id");
name_id!(
    /// One piece of evidence of server crashes, as named by the entry that publishes it.
    EvidenceId, "evidence");
name_id!(
    /// One incarnation of an entry, as published to other entries.
    InstanceId, "instance");

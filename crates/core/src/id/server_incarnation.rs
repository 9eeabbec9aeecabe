//! One run of a backend server from start to end.
//!
//! A server may restart with the same id. It has then lost all stored results, and earlier
//! observations no longer apply to it. So state about servers is keyed by incarnation: the id and
//! the start time, where the platform reports one. Start times are only compared for equality:
//! the server's clock may step back, so a later incarnation may have an earlier start time.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::{InvalidName, ServerId, StartMs};

/// Separates id and start time in text; ids never contain it.
const SEPARATOR: char = '@';

/// A backend server from one start to its end.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::ServerIncarnation;
///
/// let before: ServerIncarnation = "i-7@1733184000000".parse()?;
/// let after: ServerIncarnation = "i-7@1733184009000".parse()?;
/// assert!(after.replaces(&before));
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ServerIncarnation {
    id: ServerId,
    started: Option<StartMs>,
}

impl ServerIncarnation {
    /// Creates an incarnation without a start time, identified by its id alone.
    #[must_use]
    pub const fn new(id: ServerId) -> Self {
        Self { id, started: None }
    }

    /// Sets the start time.
    #[must_use]
    pub const fn started_at(mut self, started: StartMs) -> Self {
        self.started = Some(started);
        self
    }

    /// The server's id, the same for all of its incarnations.
    #[must_use]
    pub const fn id(&self) -> &ServerId {
        &self.id
    }

    /// The start time, if the platform reports it.
    #[must_use]
    pub const fn started(&self) -> Option<StartMs> {
        self.started
    }

    /// Whether it is another incarnation of the same server.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.id == other.id && self.started != other.started
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.id.fmt(f)?;
        match self.started {
            Some(started) => write!(f, "{SEPARATOR}{started}"),
            None => Ok(()),
        }
    }
}

impl FromStr for ServerIncarnation {
    type Err = InvalidName;

    /// Parses `ID` or `ID@START`.
    fn from_str(text: &str) -> Result<Self, InvalidName> {
        let Some((id, started)) = text.split_once(SEPARATOR) else {
            return text.parse().map(Self::new);
        };
        let started = started.parse().map_err(|_error| {
            InvalidName::BadCharacter("backend server", text.to_owned(), SEPARATOR)
        })?;
        Ok(Self::new(id.parse()?).started_at(started))
    }
}

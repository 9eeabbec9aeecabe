//! One life of a backend server.
//!
//! A server may start again under the id that it had. It then knows nothing of what it kept and
//! nothing that was believed of it holds, so whatever is remembered of a server is remembered of a
//! life: its id and the time at which that life began, where the platform tells it. Starts are only
//! compared for being the same: the time of day may step back, so an older one may be the newer.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::{InvalidName, ServerId, StartMs};

/// What stands between id and start in text; ids never hold it.
const SEPARATOR: char = '@';

/// A backend server from one start to its end.
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
    /// A life whose start the platform does not tell: its id alone names it.
    #[must_use]
    pub const fn new(id: ServerId) -> Self {
        Self { id, started: None }
    }

    /// Says when it began.
    #[must_use]
    pub const fn started_at(mut self, started: StartMs) -> Self {
        self.started = Some(started);
        self
    }

    /// The id that it shares with other lives of its server.
    #[must_use]
    pub const fn id(&self) -> &ServerId {
        &self.id
    }

    /// When it began, if the platform tells.
    #[must_use]
    pub const fn started(&self) -> Option<StartMs> {
        self.started
    }

    /// Whether it is another life of the same server.
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

    /// Reads `ID` or `ID@START`.
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

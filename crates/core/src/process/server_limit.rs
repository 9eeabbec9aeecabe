//! Requests a second that a server in need takes.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Rate below which none is kept to: a server that would take nothing is asked from time to time, as
/// only its answers tell that it takes more again.
const LEAST_PER_S: f64 = 0.1;
/// Rate beyond any server's: more is no limit.
const MOST_PER_S: f64 = 1e6;
/// Part of a limit by which another one differs that is worth a word to others.
const DIFFERENCE: f64 = 0.1;

quick_error! {
    /// A text that names no limit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidServerLimit {
        /// No number, or none that counts requests.
        NoRate(text: String) {
            display("the limit {text:?} is no rate: give requests a second, from 0 on")
        }
    }
}

/// Requests a second that a server says it takes from all entries together.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::ServerLimit;
///
/// let limit: ServerLimit = "1.5".parse()?;
/// assert_eq!(limit.per_s(), 1.5);
/// assert!("-1".parse::<ServerLimit>().is_err());
/// # Ok::<(), amaranthscale_core::process::InvalidServerLimit>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr)]
pub struct ServerLimit(f64);

impl ServerLimit {
    /// Requests a second that may reach the server: what it says, and no less than one in ten seconds.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0.clamp(LEAST_PER_S, MOST_PER_S)
    }

    /// Whether another limit is much the same.
    #[must_use]
    pub fn is_about(self, other: Self) -> bool {
        let (one, other) = (self.per_s(), other.per_s());
        (one - other).abs() <= one.max(other) * DIFFERENCE
    }
}

impl fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ServerLimit {
    type Err = InvalidServerLimit;

    fn from_str(text: &str) -> Result<Self, InvalidServerLimit> {
        let per_s = text.trim().parse::<f64>().ok();
        let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
        per_s
            .map(Self)
            .ok_or_else(|| InvalidServerLimit::NoRate(text.to_owned()))
    }
}

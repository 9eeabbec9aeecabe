//! Rate limit that an overloaded server reports.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Smallest rate that is used: a server that reports less still gets a request from time to time,
/// as only its answers show that it accepts more again.
const MIN_PER_S: f64 = 0.1;
/// Rate above any server's capacity: more is no limit.
const MAX_PER_S: f64 = 1e6;
/// Relative difference up to which two limits count as the same and are not published again.
const SIMILARITY_TOLERANCE: f64 = 0.1;

quick_error! {
    /// A text that is not a limit.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidServerLimit {
        /// Not a number, or not a valid rate.
        NotARate(text: String) {
            display("the limit {text:?} is not a rate: use requests per second, 0 or more")
        }
    }
}

/// Requests per second that a server accepts from all entries together.
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
    /// Requests per second that may reach the server: the reported number, but at least one in ten
    /// seconds.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0.clamp(MIN_PER_S, MAX_PER_S)
    }

    /// Whether another limit is about the same.
    #[must_use]
    pub fn is_close_to(self, other: Self) -> bool {
        let (one, other) = (self.per_s(), other.per_s());
        (one - other).abs() <= one.max(other) * SIMILARITY_TOLERANCE
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
            .ok_or_else(|| InvalidServerLimit::NotARate(text.to_owned()))
    }
}

//! How long a server that rejected a request wants no further requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

/// Longest time that is honoured, so that a wrong number cannot exclude a server for good.
const MAX_BACKOFF: Duration = Duration::from_hours(1);

quick_error! {
    /// A text that is not a backoff.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidServerBackoff {
        /// Not a number, or not a valid time.
        NotSeconds(text: String) {
            display("the backoff {text:?} is not a time: use seconds, 0 or more")
        }
    }
}

/// Time for which a server that rejected a request wants no further ones from the same entry.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::ServerBackoff;
///
/// let backoff: ServerBackoff = "1.5".parse()?;
/// assert_eq!(backoff.time(), Duration::from_millis(1_500));
/// assert!("soon".parse::<ServerBackoff>().is_err());
/// # Ok::<(), amaranthscale_core::process::InvalidServerBackoff>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerBackoff(Duration);

impl ServerBackoff {
    /// The requested time, at most an hour.
    #[must_use]
    pub fn time(self) -> Duration {
        self.0.min(MAX_BACKOFF)
    }
}

impl fmt::Display for ServerBackoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_secs_f64().fmt(f)
    }
}

impl FromStr for ServerBackoff {
    type Err = InvalidServerBackoff;

    fn from_str(text: &str) -> Result<Self, InvalidServerBackoff> {
        let invalid = || InvalidServerBackoff::NotSeconds(text.to_owned());
        let seconds: f64 = text.trim().parse().map_err(|_error| invalid())?;
        if seconds.is_nan() || seconds < 0.0 {
            return Err(invalid());
        }
        // Longer times than a duration can hold are honoured as the longest time.
        Ok(Self(
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
        ))
    }
}

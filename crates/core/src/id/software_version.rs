//! The version of a backend server's software.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The version of a backend server's software, as the server states it.
///
/// Versions have no order and are only compared for being the same.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::SoftwareVersion;
///
/// let version: SoftwareVersion = "v1.1".parse().unwrap();
/// assert_eq!(version.to_string(), "v1.1");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Creates a version from any text.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

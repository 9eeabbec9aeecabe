//! Sizes and rates.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Bytes in a kibibyte.
const KIB: u64 = 1024;

quick_error! {
    /// Error for text that is not a size, rate or weight.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidSize {
        /// The text has no valid number or an unknown unit.
        Malformed(kind: &'static str, text: String, accepted: &'static str) {
            display("{kind} {text:?} cannot be read: give {accepted}")
        }
    }
}

/// A number of bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Wraps a number of bytes.
    #[must_use]
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// The number of bytes.
    #[must_use]
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes > 0 && bytes % (KIB * KIB) == 0 => {
                write!(f, "{} MiB", bytes / KIB / KIB)
            }
            bytes if bytes > 0 && bytes % KIB == 0 => write!(f, "{} KiB", bytes / KIB),
            bytes => write!(f, "{bytes} B"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Self, InvalidSize> {
        let malformed =
            || InvalidSize::Malformed("size", text.to_owned(), "a whole number with B, KiB or MiB");
        let digits_end = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(digits_end);
        let factor = match unit.trim() {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => KIB * KIB,
            _ => return Err(malformed()),
        };
        let number: u64 = digits.parse().ok().ok_or_else(malformed)?;
        number.checked_mul(factor).map(Self).ok_or_else(malformed)
    }
}

/// Requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RatePerSecond(f64);

impl RatePerSecond {
    /// Wraps a rate; a negative rate or NaN becomes zero.
    #[must_use]
    pub const fn new(per_second: f64) -> Self {
        Self(if per_second > 0.0 { per_second } else { 0.0 })
    }

    /// The plain number of requests per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Self, InvalidSize> {
        let malformed =
            || InvalidSize::Malformed("rate", text.to_owned(), "a number of 0 or more with /s");
        let number: f64 = text
            .strip_suffix("/s")
            .and_then(|number| number.trim().parse().ok())
            .ok_or_else(malformed)?;
        if number.is_finite() && number >= 0.0 {
            Ok(Self(number))
        } else {
            Err(malformed())
        }
    }
}

/// Relative share of an organisation among its peers; at least 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(u32);

impl Weight {
    /// The default weight.
    pub const DEFAULT: Self = Self(1);

    /// Wraps a weight; 0 becomes 1.
    #[must_use]
    pub const fn new(weight: u32) -> Self {
        Self(if weight == 0 { 1 } else { weight })
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Weight {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Self, InvalidSize> {
        let malformed =
            || InvalidSize::Malformed("weight", text.to_owned(), "a whole number of 1 or more");
        let number: u32 = text.parse().ok().ok_or_else(malformed)?;
        if number == 0 {
            Err(malformed())
        } else {
            Ok(Self(number))
        }
    }
}

//! Identification of requests by their content, independent of call ids.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use super::OrganisationId;

/// Hexadecimal digits of a fingerprint.
const DIGITS: usize = 32;
/// Bytes of the hash used in a fingerprint.
const BYTES: usize = DIGITS / 2;

quick_error! {
    /// Error for text that is not a fingerprint.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidRequestFingerprint {
        /// The text is not the right number of lowercase hexadecimal digits.
        Malformed(text: String) {
            display("request fingerprint {text:?} is not {DIGITS} lowercase hexadecimal digits")
        }
    }
}

/// Digest that is the same for requests of one organisation with the same host, path and body.
///
/// It is a cryptographic hash that includes the organisation, so that no caller can produce the
/// fingerprint of another organisation's request.
///
/// ```
/// use amaranthscale_core::id::RequestFingerprint;
///
/// let organisation = "north".parse()?;
/// let first = RequestFingerprint::of(Some(&organisation), "h.example", "/a/", b"body");
/// let again = RequestFingerprint::of(Some(&organisation), "h.example", "/a/", b"body");
/// assert_eq!(first, again);
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// Computes the fingerprint from the caller's organisation, the host, path and body.
    #[must_use]
    pub fn of(organisation: Option<&OrganisationId>, host: &str, path: &str, body: &[u8]) -> Self {
        let organisation = organisation.map_or("", OrganisationId::as_str);
        let mut hash = Sha256::new();
        for part in [
            organisation.as_bytes(),
            host.as_bytes(),
            path.as_bytes(),
            body,
        ] {
            // The length prefix delimits the parts.
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        let prefix = bytes.iter().take(BYTES);
        Self(prefix.fold(0, |value, byte| value << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0DIGITS$x}", self.0)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestFingerprint {
    type Err = InvalidRequestFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidRequestFingerprint> {
        let malformed = || InvalidRequestFingerprint::Malformed(text.to_owned());
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(malformed());
        }
        let value = u128::from_str_radix(text, 16);
        value.map(Self).map_err(|_error| malformed())
    }
}

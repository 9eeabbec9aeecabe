//! What a request is by its content, whatever its caller names each send of it.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use super::OrganisationId;

/// Hexadecimal digits of a fingerprint.
const DIGITS: usize = 32;
/// Bytes of the hash that a fingerprint keeps.
const BYTES: usize = DIGITS / 2;

quick_error! {
    /// A text that is no fingerprint.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidRequestFingerprint {
        /// Not as many lowercase hexadecimal digits as a fingerprint has.
        Malformed(text: String) {
            display("request fingerprint {text:?} is not {DIGITS} lowercase hexadecimal digits")
        }
    }
}

/// Names requests of the same caller with the same path and body alike.
///
/// A cryptographic hash with the organisation in it, so that no caller can have another one's request
/// taken for its own.
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
    /// Fingerprint of a request by its caller's organisation, its host and path, and its body.
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
            // Lengths keep the parts apart.
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        let kept = bytes.iter().take(BYTES);
        Self(kept.fold(0, |kept, byte| kept << 8 | u128::from(*byte)))
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

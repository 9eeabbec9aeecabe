//! Hash of a bearer key.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;
/// Bytes of the prefix by which an index finds candidates for the full comparison.
const PREFIX_BYTES: usize = 8;

quick_error! {
    /// Error for text that is not the hash of a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidKeyHash {
        /// Not 64 hexadecimal digits. The text may be the key itself, so the message omits it.
        Malformed(length_bytes: usize) {
            display("a key hash of {length_bytes} bytes cannot be read: give the SHA-256 of the key as 64 hexadecimal digits")
        }
    }
}

/// SHA-256 of a bearer key; the key itself is not stored.
#[derive(Clone, Copy, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn of(bearer: impl AsRef<str>) -> Self {
        Self(Sha256::digest(bearer.as_ref().as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// First bytes, by which an index finds candidates.
    ///
    /// The hash of a guessed key cannot be chosen, so the duration of this look-up reveals nothing.
    pub(super) fn prefix(&self) -> u64 {
        self.0[..PREFIX_BYTES]
            .iter()
            .fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other)
    }
}

impl Eq for KeyHash {}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl FromStr for KeyHash {
    type Err = InvalidKeyHash;

    fn from_str(text: &str) -> Result<Self, InvalidKeyHash> {
        let malformed = || InvalidKeyHash::Malformed(text.len());
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != HASH_BYTES * 2 || !is_hex {
            return Err(malformed());
        }
        let mut hash = [0; HASH_BYTES];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).ok().ok_or_else(malformed)?;
        }
        Ok(Self(hash))
    }
}

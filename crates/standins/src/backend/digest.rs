//! Digest of a request's body.

use std::fmt;

use serde::{Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;

/// SHA-256 of a request's body, shown in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Digest([u8; DIGEST_BYTES]);

/// Computes the digest of a body.
pub(crate) fn digest(body: &[u8]) -> Digest {
    Digest(Sha256::digest(body).into())
}

impl Digest {
    /// The byte at a position, which wraps around at the digest's length.
    pub(crate) fn byte(&self, position: u32) -> u8 {
        let position = usize::try_from(position).unwrap_or_default();
        self.0[position % DIGEST_BYTES]
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

//! The claim data sent with an attempt at a non-repeatable call.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest as _, Sha256};

use crate::id::{IdempotencyKey, OrganisationId, RowVersion, StageIndex};

/// Key of the claim row of a non-repeatable call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Organisation that makes the call.
    pub organisation: OrganisationId,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// The non-repeatable stage.
    pub stage: StageIndex,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claim/{}/{}/{}", self.organisation, self.key, self.stage)
    }
}

/// SHA-256 of the call that a caller made under a key.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallFingerprint(
    #[serde_as(as = "serde_with::IfIsHumanReadable<serde_with::hex::Hex, Bytes>")] [u8; 32],
);

impl CallFingerprint {
    /// Digests the path and body of a call.
    #[must_use]
    pub fn of(path: impl AsRef<str>, body: impl AsRef<[u8]>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(path.as_ref().as_bytes());
        // A path cannot contain a zero byte, so this separates path and body.
        hasher.update([0]);
        hasher.update(body.as_ref());
        Self(hasher.finalize().into())
    }
}

/// Allows a sidecar to claim one version of a claim row just before the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Key of the row to claim.
    pub key: ClaimKey,
    /// Version that the entry read; the claim succeeds only over this version.
    pub version: RowVersion,
    /// Digest of the call, stored in the row.
    pub fingerprint: CallFingerprint,
}

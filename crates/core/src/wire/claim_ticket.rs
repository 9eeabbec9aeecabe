//! What an attempt carries when its call may not be repeated.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest as _, Sha256};

use crate::id::{IdempotencyKey, OrganisationId, RowVersion, StageIndex};

/// Names the one claim row of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Organisation that makes the call.
    pub organisation: OrganisationId,
    /// Caller's own key.
    pub key: IdempotencyKey,
    /// Stage that may not be repeated.
    pub stage: StageIndex,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claim/{}/{}/{}", self.organisation, self.key, self.stage)
    }
}

/// SHA-256 of what a caller sent under a key.
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
        // A zero byte cannot stand in a path, so that path and body cannot run into each other.
        hasher.update([0]);
        hasher.update(body.as_ref());
        Self(hasher.finalize().into())
    }
}

/// Lets a sidecar claim one version of a claim row just before the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Row to claim.
    pub key: ClaimKey,
    /// Version that the entry read; the claim succeeds on no other.
    pub version: RowVersion,
    /// Digest of the call, kept in the row.
    pub fingerprint: CallFingerprint,
}

//! Contents of a claim row.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::id::{AttemptId, HostId, Incarnation};
use crate::version::Envelope;
use crate::wire::{CallFingerprint, Outcome, Row};

/// Body of a claim row.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::{HostId, RowVersion, WriteId};
/// use amaranthscale_core::request::{ClaimRow, ClaimState, ClaimStatus, read_claim};
/// use amaranthscale_core::version::Envelope;
/// use amaranthscale_core::wire::{CallFingerprint, Row};
///
/// let fingerprint = CallFingerprint::of("/settle", "grower 17");
/// let by = HostId::new("entry-1")?;
/// let claim = ClaimRow { fingerprint, state: ClaimState::Cancelled { by } };
/// let row = Row {
///     key: "claim/delta/k-1/0".to_owned(),
///     version: RowVersion::new(1),
///     value: Envelope::new(WriteId::new("w-1")?, claim.to_body()).to_value(),
/// };
///
/// let reading = read_claim(&row, &fingerprint);
/// assert_eq!(reading, ClaimStatus::Free { version: RowVersion::new(1) });
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the call made under the key.
    pub fingerprint: CallFingerprint,
    /// State of the call.
    pub state: ClaimState,
}

/// State of a non-repeatable call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// One attempt may make the call.
    Started {
        /// Host of the sidecar that holds the claim.
        host: HostId,
        /// Incarnation of that sidecar.
        incarnation: Incarnation,
        /// Attempt that holds the claim.
        attempt: AttemptId,
    },
    /// The call was made and has ended.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// Its result.
        result: StoredResult,
    },
    /// The call was not made; it may be claimed over this row's version.
    Cancelled {
        /// Host that cancelled.
        by: HostId,
    },
    /// The call may have been made; it is never made again.
    Unknown,
}

/// Where the result of a finished call is stored.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredResult {
    /// In the row itself, as hexadecimal text.
    Inline(#[serde_as(as = "Hex")] Vec<u8>),
    /// In the object store, under this key.
    Object(String),
}

impl ClaimRow {
    /// Parses a row of the table; `None` if it is not a claim row.
    #[must_use]
    pub fn parse(row: &Row) -> Option<Self> {
        let envelope = Envelope::parse(&row.value).ok()?;
        serde_json::from_str(&envelope.body).ok()
    }

    /// Serialises the claim as the body of the row's envelope.
    ///
    /// # Panics
    ///
    /// Never: all types of a claim can be written as JSON.
    #[must_use]
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a claim can be written as JSON")
    }
}

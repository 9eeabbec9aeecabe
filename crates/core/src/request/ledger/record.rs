//! A ledger's record of one attempt.

use super::LedgerState;
use crate::unit::SidecarClock;

/// A ledger's record of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) state: LedgerState,
    pub(super) expiry: SidecarClock,
}

impl Record {
    pub(super) const fn queued(expiry: SidecarClock) -> Self {
        Self {
            state: LedgerState::Queued,
            expiry,
        }
    }

    pub(super) const fn revoked(expiry: SidecarClock) -> Self {
        Self {
            state: LedgerState::Revoked,
            expiry,
        }
    }
}

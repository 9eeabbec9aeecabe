//! What lives for one request.
//!
//! [`Ledger`] remembers which attempts a sidecar has seen, so that an attempt starts at most once
//! within one life of the sidecar. [`ClaimRow`] is the row of the platform's table that does the
//! same across sidecars and their lives, for calls that may not be repeated.

mod claim;
mod ledger;

#[doc(inline)]
pub use claim::{
    AttemptStatus, ClaimRow, ClaimState, ClaimStatus, StoredResult, attempt_status, cancel_write,
    claim_write, finish_write, mark_unknown_write, read_claim,
};
#[doc(inline)]
pub use ledger::{Ledger, LedgerLimits, LedgerState};

//! State of one request.
//!
//! [`Ledger`] records the attempts that a sidecar has received, so that an attempt starts at most
//! once per incarnation of the sidecar. [`ClaimRow`] is the row of the platform's table that does
//! the same across sidecars and incarnations, for non-repeatable calls.

mod claim;
mod ledger;

#[doc(inline)]
pub use claim::{
    AttemptStatus, ClaimRow, ClaimState, ClaimStatus, StoredResult, attempt_status, cancel_write,
    claim_write, finish_write, mark_unknown_write, read_claim,
};
#[doc(inline)]
pub use ledger::{Ledger, LedgerLimits, LedgerState};

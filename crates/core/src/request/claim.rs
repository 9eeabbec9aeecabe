//! The table row that makes a non-repeatable call run at most once.
//!
//! A claim row is free while it is absent or cancelled. Just before the call, the sidecar writes
//! "started" over the version that the entry read; after the call it writes "finished". A started
//! row becomes free again only if its own sidecar cancels it without having made the call. So each
//! version is claimed by at most one attempt, and a row claimed by another attempt proves that
//! ours never ran, which [`attempt_status()`] relies on.

mod attempt_status;
mod claim_status;
mod row;
mod writes;

#[doc(inline)]
pub use attempt_status::{AttemptStatus, attempt_status};
#[doc(inline)]
pub use claim_status::{ClaimStatus, read_claim};
#[doc(inline)]
pub use row::{ClaimRow, ClaimState, StoredResult};
#[doc(inline)]
pub use writes::{cancel_write, claim_write, finish_write, mark_unknown_write};

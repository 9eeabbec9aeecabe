//! The row that lets a call that may not be repeated run at most once.
//!
//! A claim row is free while it is absent or cancelled. The sidecar moves it from the version that
//! the entry read to started, just before the call, and to finished after it. A started row is
//! never made free again, except by the sidecar that holds it and has not made the call. So one
//! version is claimed by at most one attempt, and a row that shows another attempt's claim proves
//! that ours never ran; [`attempt_status`] reads that off.

mod fate;
mod reading;
mod row;
mod writes;

#[doc(inline)]
pub use fate::{AttemptStatus, attempt_status};
#[doc(inline)]
pub use reading::{ClaimStatus, read_claim};
#[doc(inline)]
pub use row::{ClaimRow, ClaimState, StoredResult};
#[doc(inline)]
pub use writes::{cancel_write, claim_write, finish_write, mark_unknown_write};

//! What operators and entries say to each other.
//!
//! Bodies are JSON over HTTP; every call carries `Authorization: Bearer` with the operators' key.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/operator/tree` | the tree in force |
//! | `GET /v1/operator/edits?since=V` | a list of edit records after version V |
//! | `POST /v1/operator/edits` with [`EditRequest`] | [`EditAccepted`], [`EditConflict`] or [`Refusal`] |
//! | `GET /v1/operator/status` | the entry's `/status` |
//! | `GET /v1/operator/cost` | a list of [`CostLine`](crate::entry::process::CostLine) |
//!
//! [`ctl`] is the operators' side of it, the program `amaranthctl`.

pub mod ctl;
pub mod explain;

mod edit_accepted;
mod edit_conflict;
mod edit_request;
mod refusal;

#[doc(inline)]
pub use edit_accepted::EditAccepted;
#[doc(inline)]
pub use edit_conflict::EditConflict;
#[doc(inline)]
pub use edit_request::EditRequest;
#[doc(inline)]
pub use refusal::Refusal;

/// Path of the whole tree.
pub const TREE_PATH: &str = "/v1/operator/tree";
/// Path of the edits; the query `since=V` leaves out those up to version V.
pub const EDITS_PATH: &str = "/v1/operator/edits";
/// Path of the status report.
pub const STATUS_PATH: &str = "/v1/operator/status";
/// Path of the cost report.
pub const COST_PATH: &str = "/v1/operator/cost";

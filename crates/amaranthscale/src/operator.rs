//! Messages of the operator interface, and the client side of it.
//!
//! Bodies are JSON over HTTP; every call has an `Authorization: Bearer` header with the operators'
//! key.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/operator/tree` | the tree in force |
//! | `GET /v1/operator/edits?since=V` | a list of edit records after version V |
//! | `POST /v1/operator/edits` with [`EditRequest`] | [`EditAccepted`], [`EditConflict`] or [`Refusal`] |
//! | `GET /v1/operator/status` | the entry's `/status` |
//! | `GET /v1/operator/cost` | a list of [`CostLine`](crate::entry::process::CostLine) |
//!
//! A gateway's operator listener, which also serves metrics, has these without a key:
//!
//! | call | answer |
//! |---|---|
//! | `GET /servers` | [`GatewayServers`] |
//! | `POST /servers/drain/ID`, `POST /servers/undrain/ID` with [`ChangeRequest`] or without a body | [`ChangeAnswer`] |
//! | `GET /quarantine` | a line for each quarantined request |
//! | `POST /quarantine/lift/ID` | a line of text |
//!
//! [`ctl`] is the client, the program `amaranthctl`, and [`explain`] evaluates log files.

pub mod ctl;
pub mod explain;

mod change_answer;
mod change_request;
mod edit_accepted;
mod edit_conflict;
mod edit_request;
mod gateway_servers;
mod held_back;
mod moving_run;
mod refusal;
mod server_report;

#[doc(inline)]
pub use change_answer::{ChangeAnswer, ChangeOutcome};
#[doc(inline)]
pub use change_request::ChangeRequest;
#[doc(inline)]
pub use edit_accepted::EditAccepted;
#[doc(inline)]
pub use edit_conflict::EditConflict;
#[doc(inline)]
pub use edit_request::EditRequest;
#[doc(inline)]
pub use gateway_servers::GatewayServers;
#[doc(inline)]
pub use held_back::HeldBack;
#[doc(inline)]
pub use moving_run::MovingRun;
#[doc(inline)]
pub use refusal::Refusal;
#[doc(inline)]
pub use server_report::ServerReport;

/// Path of the settings tree.
pub const TREE_PATH: &str = "/v1/operator/tree";
/// Path of the edits; the query `since=V` skips those up to version V.
pub const EDITS_PATH: &str = "/v1/operator/edits";
/// Path of the status report.
pub const STATUS_PATH: &str = "/v1/operator/status";
/// Path of the cost report.
pub const COST_PATH: &str = "/v1/operator/cost";
/// Path at a gateway of its servers' states.
pub const GATEWAY_SERVERS_PATH: &str = "/servers";
/// Path at a gateway of the quarantined requests.
pub const QUARANTINE_LIST_PATH: &str = "/quarantine";
/// Prefix of the path at a gateway that lifts the quarantine of a request; its fingerprint follows.
pub const QUARANTINE_LIFT_PATH: &str = "/quarantine/lift/";
/// Prefix of the path at a gateway that drains a server; its id follows.
pub const DRAIN_PATH: &str = "/servers/drain/";
/// Prefix of the path at a gateway that ends the drain of a server; its id follows.
pub const UNDRAIN_PATH: &str = "/servers/undrain/";

//! Messages between processes, and between a process and the platform.
//!
//! Entry and sidecar communicate over HTTP with `MessagePack` bodies; the platform uses JSON. The
//! answer to an attempt is a sequence of length-delimited [`Frame`]s: numbered chunks, then exactly
//! one end.

mod claim_ticket;
mod codec;
mod dispatch;
mod engine_report;
mod frame;
mod hello;
mod platform;
mod revoke;
mod stamp;
mod tree_exchange;

#[doc(inline)]
pub use claim_ticket::{CallFingerprint, ClaimKey, ClaimTicket};
#[doc(inline)]
pub use codec::{DecodeError, decode, encode};
#[doc(inline)]
pub use dispatch::Dispatch;
#[doc(inline)]
pub use engine_report::EngineReport;
#[doc(inline)]
pub use frame::{Chunk, End, Frame, Outcome, ResultDigest, StageCost};
#[doc(inline)]
pub use hello::Hello;
#[doc(inline)]
pub use platform::{
    HostList, HostRecord, HostState, Row, RowCheck, RowWrite, Transaction, TransactionReply,
};
#[doc(inline)]
pub use revoke::{Fetch, Revoke, RevokeAnswer, RevokeReply};
#[doc(inline)]
pub use stamp::{LoadReport, Stamp};
#[doc(inline)]
pub use tree_exchange::{TreeReply, TreeRequest};

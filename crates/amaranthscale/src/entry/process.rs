//! What lives as long as the entry.

mod decisions;
mod host_watch;
mod parts;

#[doc(inline)]
pub use decisions::{
    AdmissionQuestion, AttemptReport, Decision, Decisions, DecisionsArguments, DecisionsHandle,
    DecisionsStatus, KnownSidecar, Route, RouteQuestion,
};
#[doc(inline)]
pub use host_watch::watch_hosts;
#[doc(inline)]
pub use parts::EntryParts;

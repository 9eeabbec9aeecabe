//! What lives as long as the entry.

mod attempt_kind;
mod decisions;
mod hedges;
mod host_watch;
mod parts;
mod reservation;
mod route;

#[doc(inline)]
pub use attempt_kind::AttemptKind;
#[doc(inline)]
pub use decisions::{
    AdmissionQuestion, AttemptReport, Decision, Decisions, DecisionsArguments, DecisionsHandle,
    DecisionsStatus,
};
#[doc(inline)]
pub use host_watch::watch_hosts;
#[doc(inline)]
pub use parts::EntryParts;
#[doc(inline)]
pub use reservation::Reservation;
#[doc(inline)]
pub use route::{KnownSidecar, Route, RouteQuestion};

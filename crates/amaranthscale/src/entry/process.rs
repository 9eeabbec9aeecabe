//! What lives as long as the entry.

mod admission_question;
mod attempt_kind;
mod attempt_report;
mod decisions;
mod decisions_handle;
mod decisions_state;
mod decisions_status;
mod hedges;
mod host_watch;
mod parts;
mod reservation;
mod route;
mod zone_watch;

#[doc(inline)]
pub use admission_question::AdmissionQuestion;
#[doc(inline)]
pub use attempt_kind::AttemptKind;
#[doc(inline)]
pub use attempt_report::AttemptReport;
#[doc(inline)]
pub use decisions::{Decision, Decisions, DecisionsArguments};
#[doc(inline)]
pub use decisions_handle::DecisionsHandle;
#[doc(inline)]
pub use decisions_state::DecisionsState;
#[doc(inline)]
pub use decisions_status::{AttainmentLine, CostLine, DecisionsStatus, ZoneLine};
#[doc(inline)]
pub use host_watch::watch_hosts;
#[doc(inline)]
pub use parts::EntryParts;
#[doc(inline)]
pub use reservation::Reservation;
#[doc(inline)]
pub use route::{KnownSidecar, Route, RouteQuestion};
#[doc(inline)]
pub use zone_watch::watch_zones;

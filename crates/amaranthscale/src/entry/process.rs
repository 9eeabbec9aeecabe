//! State and background tasks that live as long as the entry.

mod admission_query;
mod attempt_kind;
mod attempt_report;
mod decisions;
mod decisions_handle;
mod decisions_state;
mod decisions_status;
mod entry_context;
mod hedges;
mod host_watch;
mod reservation;
mod route;
mod zone_watch;

#[doc(inline)]
pub use admission_query::AdmissionQuery;
#[doc(inline)]
pub use attempt_kind::AttemptKind;
#[doc(inline)]
pub use attempt_report::AttemptReport;
#[doc(inline)]
pub use decisions::{Decisions, DecisionsArguments, DecisionsMessage};
#[doc(inline)]
pub use decisions_handle::DecisionsHandle;
#[doc(inline)]
pub use decisions_state::DecisionsState;
#[doc(inline)]
pub use decisions_status::{AttainmentLine, CostLine, DecisionsStatus, ZoneLine};
#[doc(inline)]
pub use entry_context::EntryContext;
#[doc(inline)]
pub use host_watch::watch_hosts;
#[doc(inline)]
pub use reservation::Reservation;
#[doc(inline)]
pub use route::{ObservedSidecar, Route, RouteQuery};
#[doc(inline)]
pub use zone_watch::watch_zones;

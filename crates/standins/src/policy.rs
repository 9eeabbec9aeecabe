//! A bench for the policy under load and faults.
//!
//! It drives the very same decisions that entry and sidecar are built on, with a small fake in
//! the place of the backend server: slots and a distribution of service times. There is no model
//! of hosts or of a network beyond one fixed delay per message. Arrivals are open loop, the clock
//! is virtual, and everything random comes from one seed.

mod agenda;
mod attempt;
mod bench;
mod command;
mod deployment;
mod entry;
mod event;
mod fake_server;
mod fault;
mod figures;
mod mechanism;
mod mechanisms;
mod organisation_spec;
mod pipeline_spec;
mod plot;
mod report;
mod request;
mod scenario;
mod schedule;
mod service_spec;
mod summary;
mod tally;

#[doc(inline)]
pub use bench::Bench;
#[doc(inline)]
pub use command::{command, run};
#[doc(inline)]
pub use deployment::Deployment;
#[doc(inline)]
pub use figures::Figures;
#[doc(inline)]
pub use mechanism::Mechanism;
#[doc(inline)]
pub use mechanisms::Mechanisms;
#[doc(inline)]
pub use scenario::{InvalidScenario, Scenario};
#[doc(inline)]
pub use summary::{Spread, Summary};

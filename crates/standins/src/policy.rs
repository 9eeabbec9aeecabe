//! Simulation of the policy under load and faults.
//!
//! It runs the same decision code as entries and sidecars, with a small fake in place of the
//! backend server: slots and a distribution of service times. There is no model of hosts or of a
//! network except one fixed delay per message. Arrivals are open loop, the clock is virtual, and
//! all random numbers come from one seed.

mod attempt;
mod command;
mod deployment;
mod entry;
mod event;
mod event_queue;
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
mod simulation;
mod summary;
mod tally;

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
pub use simulation::Simulation;
#[doc(inline)]
pub use summary::{Spread, Summary};

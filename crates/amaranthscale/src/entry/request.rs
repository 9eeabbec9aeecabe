//! Handling of one request at an entry.
//!
//! [`CallerRequest`] is parsed from HTTP, `RequestRun` executes its stages in order, `StageRun` makes the
//! attempts of one stage, `AttemptRun` follows one attempt at one sidecar, and [`Answer`] is
//! returned to the caller.

mod answer;
mod attempt_guard;
mod attempt_run;
mod caller_request;
mod claim_check;
mod hedged_attempt;
mod request_run;
mod sent_attempt;
mod sidecar_hello;
mod stage_input;
mod stage_run;
mod stage_task;
mod token_collector;

#[doc(inline)]
pub use answer::{Answer, AnswerEnvelope};
#[doc(inline)]
pub use caller_request::{CallerHead, CallerRequest, DeadlineLimits, Target};
#[doc(inline)]
pub use request_run::RequestRun;
#[doc(inline)]
pub use stage_input::stage_input;
#[doc(inline)]
pub use token_collector::{TokenCollector, TokenText};

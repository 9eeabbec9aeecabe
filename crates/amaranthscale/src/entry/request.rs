//! What lives for one request at an entry.
//!
//! A request passes these files in order: [`CallerRequest`] is read from HTTP, `Run` drives its
//! stages, `StageRun` the attempts of one stage, `AttemptRun` one attempt at one sidecar, and
//! [`Answer`] goes back to the caller.

mod answer;
mod attempt_run;
mod attempt_watch;
mod caller_request;
mod claim_check;
mod hedged_attempt;
mod run;
mod sent_attempt;
mod sidecar_hello;
mod stage_input;
mod stage_run;
mod stage_task;
mod token_lines;

#[doc(inline)]
pub use answer::{Answer, AnswerEnvelope};
#[doc(inline)]
pub use caller_request::{CallerHead, CallerRequest, DeadlineLimits, Target};
#[doc(inline)]
pub use run::Run;
#[doc(inline)]
pub use stage_input::stage_input;
#[doc(inline)]
pub use token_lines::{TokenLines, TokenText};

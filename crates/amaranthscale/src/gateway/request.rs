//! State with the life span of a request: its head, its sends and its one answer.

mod answer;
mod buffered_body;
mod caller;
mod engine_run;
mod event_splitter;
mod event_steps;
mod outgoing;
mod plain_run;
mod refusal;
mod run_continuation;
mod run_move_state;
mod run_versions;
mod send;
mod stream_body;
mod stream_relay;

#[doc(inline)]
pub use answer::{AnswerBody, TruncatedAnswer};
#[doc(inline)]
pub use caller::answer_caller;
#[doc(inline)]
pub use event_splitter::{EventSplitter, StreamEvent};
#[doc(inline)]
pub use event_steps::EventSteps;
#[doc(inline)]
pub use refusal::Refusal;

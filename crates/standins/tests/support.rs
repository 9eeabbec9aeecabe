//! Test fixtures: child processes, a manually advanced clock, and waits for conditions.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses some of the fixtures"
)]
#![allow(clippy::unwrap_used, reason = "a failing fixture fails its test")]

mod answer;
mod answer_checker;
mod backend_host;
mod call;
mod child_process;
mod delta_basin;
mod entry_process;
mod eventually;
mod manual_clock;
mod orders_fixture;
mod platform_process;
mod relay_process;
mod request;
mod settings_file;
mod signals;
mod token_stream;
mod wait;

pub use answer::Answer;
pub use answer_checker::AnswerChecker;
pub use backend_host::{BackendHost, BackendPlan};
pub use call::{call_headers, set_faults};
pub use child_process::{ChildProcess, sibling_program};
pub use delta_basin::{BasinPlan, DeltaBasin};
pub use entry_process::EntryProcess;
pub use eventually::{eventually, join_task, run_round_trips};
pub use manual_clock::ManualClock;
pub use orders_fixture::{
    OrdersFixture, TestPlanner, compiled_tree, fast_planner_settings, host_id, model_id,
    poll_until, put_service, service_id, sidecar_counter, start_engine,
};
pub use platform_process::PlatformProcess;
pub use relay_process::RelayProcess;
pub use request::{DRIVER_TRIAL_KEY, MILL_ACCOUNTS_KEY, OPERATOR_KEY, Request};
pub use signals::{await_answer, kill, pause, resume, terminate};
pub use token_stream::TokenStream;
pub use wait::wait_until;

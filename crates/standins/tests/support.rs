//! Fixtures for tests: child processes, a clock that stands still, and waits on events.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses its own part"
)]
#![allow(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod answer;
mod backend_host;
mod call;
mod child_process;
mod delta_basin;
mod entry_process;
mod eventually;
mod held_clock;
mod judge;
mod platform_process;
mod relay_process;
mod request;
mod settings_file;
mod signals;
mod token_stream;
mod wait;

pub use answer::Answer;
pub use backend_host::{BackendHost, BackendPlan};
pub use call::{call_headers, switch};
pub use child_process::{ChildProcess, sibling_program};
pub use delta_basin::{DeltaBasin, Plan};
pub use entry_process::EntryProcess;
pub use eventually::{eventually, joined, settle};
pub use held_clock::HeldClock;
pub use judge::Judge;
pub use platform_process::PlatformProcess;
pub use relay_process::RelayProcess;
pub use request::{DRIVER_TRIAL_KEY, MILL_ACCOUNTS_KEY, OPERATOR_KEY, Request};
pub use signals::{answer_of, freeze, kill, terminate, wake};
pub use token_stream::TokenStream;
pub use wait::wait_until;

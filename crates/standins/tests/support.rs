//! Fixtures for tests: child processes, a clock that stands still, and waits on events.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test program uses its own part"
)]
#![allow(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

mod call;
mod child_process;
mod eventually;
mod held_clock;
mod orders_bench;

pub use call::{call_headers, switch};
pub use child_process::{ChildProcess, sibling_program};
pub use eventually::{eventually, settle};
pub use held_clock::HeldClock;
pub use orders_bench::{
    BenchPlanner, OrdersBench, counted, engine, host, model, pool, put_service, quick_planner,
    tree, until,
};

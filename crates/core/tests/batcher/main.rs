//! Batches of pieces: scheduling, result storage, ends of calls, restarts, and random runs.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod availability;
mod burst;
mod connection_loss;
mod ends;
mod fixture;
mod paced_calls;
mod random;
mod restarts;
mod result_storage;
mod retained_results;
mod scheduling;

//! Batches of pieces: scheduling, result storage, ends of calls, restarts, and random runs.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod admission;
mod allowed_zones;
mod availability;
mod burst;
mod connection_loss;
mod ends;
mod fixture;
mod load_simulation;
mod paced_calls;
mod random;
mod restarts;
mod result_storage;
mod retained_results;
mod scheduling;
mod shared_inputs;

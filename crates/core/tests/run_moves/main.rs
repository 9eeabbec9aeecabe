//! Moves of runs from slow engines and between uneven ones.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod decisions;
mod simulated;
mod simulation;

//! Measured speed of engines: the estimates, their exchange and the choice by them.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod choice;
mod estimates;
mod prefix_cache;
mod simulated;
mod simulation;

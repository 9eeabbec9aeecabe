//! Batches of pieces: order, room, ends of calls, and random runs.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

mod bench;
mod burst;
mod cut_off;
mod ends;
mod kept;
mod lives;
mod order;
mod random;
mod room;
mod withheld;

//! The share of new connections that an entry takes.

mod decisions;
mod event_loop;
mod overload;

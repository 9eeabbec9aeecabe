//! Fakes and fixtures for the tests of the sidecar.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary includes this file and uses a part of it"
)]

mod breaking_backend;
mod fake_backend;
mod fake_table;
mod fixture;

pub use breaking_backend::BreakingBackend;
pub use fake_backend::FakeBackend;
pub use fake_table::FakeTable;
pub use fixture::{Bench, bench, bench_with, hello, open, start_sidecar, ticket, whole};

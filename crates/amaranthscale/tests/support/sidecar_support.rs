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

use std::time::Duration;

pub use breaking_backend::BreakingBackend;
pub use fake_backend::{FIRST_LINE, FakeBackend, LAST_LINES};
pub use fake_table::FakeTable;
pub use fixture::{
    Bench, bench, bench_with, fetch, fetch_within, hello, new_entry, open, start_sidecar, ticket,
    whole,
};

/// Longest wait of a test for what must come; a test that waits this long has failed.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Waits for what must come.
pub async fn soon<T>(awaited: impl Future<Output = T>) -> T {
    let awaited = tokio::time::timeout(GIVE_UP, awaited);
    awaited.await.expect("what the test waits for did not come")
}

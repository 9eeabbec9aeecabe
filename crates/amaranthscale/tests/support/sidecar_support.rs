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
    Fixture, fetch, fetch_within, fixture, fixture_with, hello, new_entry, open, read_to_end,
    start_sidecar, ticket,
};

/// Timeout of every wait in a test, after which the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits a future; panics after a timeout.
pub async fn with_timeout<T>(awaited: impl Future<Output = T>) -> T {
    let awaited = tokio::time::timeout(WAIT_TIMEOUT, awaited);
    awaited
        .await
        .expect("the awaited event did not occur in time")
}

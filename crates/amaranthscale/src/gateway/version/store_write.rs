//! Single writes to the store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::super::{StoreAnswer, StoreApi};
use super::feed::call_store;
use crate::connection::Http1Connection;

/// Longest wait for one write.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);

/// Makes one write; an error says that it may not have been made.
pub(crate) async fn write_store(
    store: &StoreApi,
    request: Request<Full<Bytes>>,
) -> Result<(), String> {
    write_store_if(store, request).await.map(|_is_made| ())
}

/// Makes a write, again after a pause until the store has taken it; each failure goes to a function.
pub(crate) async fn write_store_until_taken(
    store: &StoreApi,
    request: impl Fn() -> Request<Full<Bytes>>,
    pause: Duration,
    failed: impl Fn(&str),
) {
    while let Err(reason) = write_store(store, request()).await {
        failed(&reason);
        tokio::time::sleep(pause).await;
    }
}

/// Makes one write if its condition holds; says whether it did.
pub(crate) async fn write_store_if(
    store: &StoreApi,
    request: Request<Full<Bytes>>,
) -> Result<bool, String> {
    let connection = Http1Connection::open(store.address, WRITE_PATIENCE)
        .await
        .map_err(|error| error.to_string())?;
    let (answer, _connection) =
        call_store(store, connection, request, WRITE_PATIENCE, |_bytes| {}).await?;
    match answer {
        StoreAnswer::Rows(_) => Ok(true),
        StoreAnswer::Conflict => Ok(false),
        other => Err(format!("the store answered {other:?}")),
    }
}

//! Single writes to the store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use quick_error::quick_error;

use super::super::{StoreAnswer, StoreApi};
use super::store_call::call_store;
use crate::connection::Http1Connection;

/// Timeout of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a write whose maker must know whether it may have been applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WriteError {
        /// It was not applied and will not be.
        NotApplied(reason: String) {
            display("not written: {reason}")
        }
        /// It may have been applied.
        Unknown(reason: String) {
            display("may have been written: {reason}")
        }
    }
}

/// Makes one write; the error shows whether it may have been applied.
pub(crate) async fn write_store_once(
    store: &StoreApi,
    request: Request<Full<Bytes>>,
) -> Result<(), WriteError> {
    let connection = Http1Connection::open(store.address, WRITE_TIMEOUT)
        .await
        .map_err(|error| WriteError::NotApplied(error.to_string()))?;
    let (answer, _connection) = call_store(store, connection, request, WRITE_TIMEOUT, |_bytes| {})
        .await
        .map_err(WriteError::Unknown)?;
    match answer {
        StoreAnswer::Rows(_) => Ok(()),
        StoreAnswer::Refused(status) if status.is_server_error() => {
            Err(WriteError::Unknown(format!("the store answered {status}")))
        }
        other => Err(WriteError::NotApplied(format!(
            "the store answered {other:?}"
        ))),
    }
}

/// Makes one write; after an error it may or may not have been applied.
pub(crate) async fn write_store(
    store: &StoreApi,
    request: Request<Full<Bytes>>,
) -> Result<(), String> {
    write_store_if(store, request).await.map(|_is_applied| ())
}

/// Makes a write, and retries it after a pause until the store accepts it; calls `on_failure` for
/// each failure.
pub(crate) async fn write_store_with_retry(
    store: &StoreApi,
    request: impl Fn() -> Request<Full<Bytes>>,
    pause: Duration,
    on_failure: impl Fn(&str),
) {
    while let Err(reason) = write_store(store, request()).await {
        on_failure(&reason);
        tokio::time::sleep(pause).await;
    }
}

/// Makes one conditional write; returns whether its condition held.
pub(crate) async fn write_store_if(
    store: &StoreApi,
    request: Request<Full<Bytes>>,
) -> Result<bool, String> {
    let connection = Http1Connection::open(store.address, WRITE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let (answer, _connection) =
        call_store(store, connection, request, WRITE_TIMEOUT, |_bytes| {}).await?;
    match answer {
        StoreAnswer::Rows(_) => Ok(true),
        StoreAnswer::Conflict => Ok(false),
        other => Err(format!("the store answered {other:?}")),
    }
}

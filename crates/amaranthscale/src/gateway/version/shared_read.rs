//! Reads of the store that callers share.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::super::{StoreAnswer, StoreApi, StoreRows};
use super::store_call::{CALL_TIMEOUT, call_store};
use crate::connection::Http1Connection;

/// The result of a read and when it began.
type LastRead<T> = (Instant, Result<Arc<T>, String>);

/// Reads the same rows for many callers.
///
/// Each caller gets the result of a read that began after its call, so that the rows are no older than
/// the call. Callers that wait meanwhile share the next read.
#[derive(Debug)]
pub struct SharedRead<T> {
    store: StoreApi,
    request: fn() -> Request<Full<Bytes>>,
    parse: fn(&StoreApi, &StoreRows) -> Result<T, String>,
    last: Mutex<Option<LastRead<T>>>,
}

impl<T> SharedRead<T> {
    /// Creates a reader that has read nothing yet.
    #[must_use]
    pub fn new(
        store: StoreApi,
        request: fn() -> Request<Full<Bytes>>,
        parse: fn(&StoreApi, &StoreRows) -> Result<T, String>,
    ) -> Self {
        Self {
            store,
            request,
            parse,
            last: Mutex::default(),
        }
    }

    /// The rows as of a time after this call.
    pub async fn read(&self) -> Result<Arc<T>, String> {
        let called_at = Instant::now();
        let mut last = self.last.lock().await;
        if let Some((began_at, result)) = last.as_ref()
            && *began_at > called_at
        {
            return result.clone();
        }
        let began_at = Instant::now();
        let result = self.read_once().await.map(Arc::new);
        *last = Some((began_at, result.clone()));
        result
    }

    async fn read_once(&self) -> Result<T, String> {
        let connection = Http1Connection::open(self.store.address, CALL_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let request = (self.request)();
        let (answer, _connection) =
            call_store(&self.store, connection, request, CALL_TIMEOUT, |_bytes| {}).await?;
        match answer {
            StoreAnswer::Rows(rows) => (self.parse)(&self.store, &rows),
            other => Err(format!("the store answered {other:?}")),
        }
    }
}

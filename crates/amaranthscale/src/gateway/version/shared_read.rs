//! Reads of the store that callers share.

use std::sync::Arc;
use std::time::Duration;

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

/// Which rows are read, and what is kept of them.
#[derive(Debug)]
pub struct RowsReader<T> {
    /// Reads the rows from the start or from after a key.
    pub request: fn(Option<&str>) -> Request<Full<Bytes>>,
    /// Adds the rows of one answer.
    pub add: fn(&StoreApi, &mut T, &StoreRows),
}

/// Reads the same rows for many callers.
///
/// Each caller gets the result of a read that began after its call, so that the rows are no older than
/// the call. Callers that wait meanwhile share the next read.
#[derive(Debug)]
pub struct SharedRead<T> {
    store: StoreApi,
    reader: RowsReader<T>,
    last: Mutex<Option<LastRead<T>>>,
}

impl<T: Default> SharedRead<T> {
    /// Creates a reader that has read nothing yet.
    #[must_use]
    pub fn new(store: StoreApi, reader: RowsReader<T>) -> Self {
        Self {
            store,
            reader,
            last: Mutex::default(),
        }
    }

    /// The rows as of a time after this call; the timeout includes the read that it waits for.
    pub async fn read(&self, timeout: Duration) -> Result<Arc<T>, String> {
        let read = tokio::time::timeout(timeout, self.read_after_call()).await;
        read.unwrap_or_else(|_elapsed| Err("no answer in time".to_owned()))
    }

    async fn read_after_call(&self) -> Result<Arc<T>, String> {
        let called_at = Instant::now();
        let mut last = self.last.lock().await;
        if let Some((began_at, result)) = last.as_ref()
            && *began_at > called_at
        {
            return result.clone();
        }
        let began_at = Instant::now();
        let result = self.read_all().await.map(Arc::new);
        *last = Some((began_at, result.clone()));
        result
    }

    async fn read_all(&self) -> Result<T, String> {
        let mut connection = Http1Connection::open(self.store.address, CALL_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        let (mut read, mut after) = (T::default(), None::<String>);
        loop {
            let request = (self.reader.request)(after.as_deref());
            let called = call_store(&self.store, connection, request, CALL_TIMEOUT, |_bytes| {});
            let (answer, returned) = called.await?;
            let rows = match answer {
                StoreAnswer::Rows(rows) => rows,
                other => return Err(format!("the store answered {other:?}")),
            };
            (self.reader.add)(&self.store, &mut read, &rows);
            match rows.rows.last().filter(|_| rows.is_truncated) {
                Some(last) => after = Some(last.key.clone()),
                None => return Ok(read),
            }
            connection = returned;
        }
    }
}

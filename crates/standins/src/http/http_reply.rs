//! A whole answer.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::HttpError;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl HttpReply {
    /// Reads the body as JSON, whatever the status.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The answer itself, or an error unless its status is a success.
    pub fn success(self) -> Result<Self, HttpError> {
        if self.status.is_success() {
            Ok(self)
        } else {
            Err(HttpError::Status(self.status, self.body))
        }
    }
}

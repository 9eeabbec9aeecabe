//! A complete HTTP answer.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::HttpError;

/// A complete HTTP answer.
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
    /// Parses the body as JSON, for any status.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// The answer itself if its status is a success, otherwise an error.
    pub fn success(self) -> Result<Self, HttpError> {
        if self.status.is_success() {
            Ok(self)
        } else {
            Err(HttpError::Status(self.status, self.body))
        }
    }
}

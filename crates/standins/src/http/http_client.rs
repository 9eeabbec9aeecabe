//! A small HTTP client for tests and the load tool.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{HttpError, HttpReply};

/// An HTTP client that sends each request at most once and sets no timeout.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client for HTTP/1.1.
    #[must_use]
    pub fn new() -> Self {
        Self::build(false)
    }

    /// A client for HTTP/2 with prior knowledge.
    #[must_use]
    pub fn http2() -> Self {
        Self::build(true)
    }

    /// Sends a GET request and parses the answer as JSON; a status other than success is an error.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        url: impl AsRef<str>,
    ) -> Result<T, HttpError> {
        self.get(url).await?.success()?.json()
    }

    /// Posts JSON and parses the answer as JSON; a status other than success is an error.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        url: impl AsRef<str>,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(body)?;
        let reply = self.post(url, &[], body).await?;
        reply.success()?.json()
    }

    /// Sends a GET request; an answer of any status is returned.
    pub async fn get(&self, url: impl AsRef<str>) -> Result<HttpReply, HttpError> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }

    /// Posts a body with headers; an answer of any status is returned.
    pub async fn post(
        &self,
        url: impl AsRef<str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpReply, HttpError> {
        self.send(Method::POST, url, headers, body).await
    }

    /// Sends a body with PUT; an answer of any status is returned.
    pub async fn put(
        &self,
        url: impl AsRef<str>,
        body: impl Into<Bytes>,
    ) -> Result<HttpReply, HttpError> {
        self.send(Method::PUT, url, &[], body).await
    }

    /// Sends a request and reads the whole answer, of any status.
    pub async fn send(
        &self,
        method: Method,
        url: impl AsRef<str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpReply, HttpError> {
        let response = self.open(method, url, headers, body).await?;
        read_whole(response).await
    }

    /// Sends a request and returns when the answer's head has arrived, so that the caller can
    /// stream its body.
    pub async fn open(
        &self,
        method: Method,
        url: impl AsRef<str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut request = Request::builder().method(method).uri(url.as_ref());
        if !headers.iter().any(|(name, _)| is_content_type(name)) {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        Ok(self.client.request(request).await?)
    }

    fn build(http2_only: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A request whose connection is lost may have taken effect; only the caller may retry it.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .http2_only(http2_only)
            .build(connector);
        Self { client }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

fn is_content_type(name: &str) -> bool {
    name.eq_ignore_ascii_case(CONTENT_TYPE.as_str())
}

async fn read_whole(response: Response<Incoming>) -> Result<HttpReply, HttpError> {
    let (parts, mut incoming) = response.into_parts();
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Err(cause) => return Err(HttpError::Truncated(parts.status, body.freeze(), cause)),
        }
    }
    Ok(HttpReply {
        status: parts.status,
        headers: parts.headers,
        body: body.freeze(),
    })
}

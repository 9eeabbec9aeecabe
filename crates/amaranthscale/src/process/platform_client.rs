//! The platform's table, object store and host list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::wire::{HostList, Row, Transaction, TransactionReply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use super::{ControlKind, ControlTraffic};
use crate::connection::read_body_with_idle_timeout;

/// Largest answer that the platform gives: a page of rows or one object.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Rate of the slowest supported link, 1 Mbit/s: a snapshot that is uploaded more slowly is
/// aborted.
const MIN_UPLOAD_BYTES_PER_S: f64 = 125_000.0;

quick_error! {
    /// A call to the platform that gave no usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The platform refused the call, so it had no effect.
        Refused(status: u16) {
            display("the platform refused the call with status {status}")
        }
        /// No answer arrived; the call may have taken effect.
        Lost(reason: String) {
            display("the platform's answer was lost: {reason}")
        }
        /// The answer cannot be read.
        Malformed(reason: String) {
            display("the platform's answer cannot be read: {reason}")
        }
    }
}

/// Bounds of calls to the platform.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClientLimits {
    /// Longest wait for the beginning of an answer, and for each further part of it.
    pub timeout: Duration,
}

impl Default for PlatformClientLimits {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
        }
    }
}

/// Calls the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    limits: PlatformClientLimits,
    kind: ControlKind,
    traffic: ControlTraffic,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// A client of the platform at an address.
    ///
    /// The HTTP library's own retries are off: a conditional write that is sent twice unnoticed
    /// would look like a lost race to the writer.
    #[must_use]
    pub fn new(address: SocketAddr, limits: PlatformClientLimits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(limits.timeout));
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            address,
            limits,
            kind: ControlKind::TreePoll,
            traffic: ControlTraffic::default(),
            http,
        }
    }

    /// Counts calls by their kind.
    #[must_use]
    pub fn with_traffic(mut self, traffic: ControlTraffic) -> Self {
        self.traffic = traffic;
        self
    }

    /// The same client with its calls counted under another kind; connections are shared.
    #[must_use]
    pub fn with_kind(&self, kind: ControlKind) -> Self {
        Self {
            kind,
            ..self.clone()
        }
    }

    /// Reads one row; an absent one has version 0.
    pub async fn row(&self, key: &str) -> Result<Row, PlatformError> {
        self.get(&format!("/table/row?key={}", percent_encode(key)))
            .await
    }

    /// Reads rows whose keys start with a prefix and come after a key.
    pub async fn rows(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let (prefix, after) = (percent_encode(prefix), percent_encode(after));
        self.get(&format!(
            "/table/rows?prefix={prefix}&after={after}&limit={limit}"
        ))
        .await
    }

    /// Runs a transaction once.
    pub async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionReply, PlatformError> {
        let body = serde_json::to_vec(transaction)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let (status, answer) = self.call(Method::POST, "/table/transaction", body).await?;
        match status {
            StatusCode::OK | StatusCode::CONFLICT => parse(&answer),
            refused => Err(PlatformError::Refused(refused.as_u16())),
        }
    }

    /// Reads the host list, if it has changed since a version.
    ///
    /// A list of a thousand hosts is long; most polls find it unchanged and transfer nothing.
    pub async fn hosts_after(
        &self,
        version: Option<u64>,
    ) -> Result<Option<HostList>, PlatformError> {
        let path = match version {
            Some(version) => format!("/hosts?after={version}"),
            None => "/hosts".to_owned(),
        };
        let (status, answer) = self.call(Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::NO_CONTENT => Ok(None),
            status if status.is_success() => parse(&answer).map(Some),
            refused => Err(PlatformError::Refused(refused.as_u16())),
        }
    }

    /// Stores an object.
    pub async fn put_object(
        &self,
        key: &str,
        content: impl Into<Bytes>,
    ) -> Result<(), PlatformError> {
        let path = format!("/objects/{}", percent_encode(key));
        let (status, _answer) = self.call(Method::PUT, &path, content).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PlatformError::Refused(status.as_u16()))
        }
    }

    /// Reads an object.
    pub async fn object(&self, key: &str) -> Result<Bytes, PlatformError> {
        let path = format!("/objects/{}", percent_encode(key));
        let (status, answer) = self.call(Method::GET, &path, Bytes::new()).await?;
        if status.is_success() {
            Ok(answer)
        } else {
            Err(PlatformError::Refused(status.as_u16()))
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let (status, answer) = self.call(Method::GET, path, Bytes::new()).await?;
        if !status.is_success() {
            return Err(PlatformError::Refused(status.as_u16()));
        }
        parse(&answer)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let body = body.into();
        let upload = max_upload_time(body.len());
        self.traffic.count_message(self.kind);
        self.traffic.count_sent(self.kind, path.len() + body.len());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let timeout = self.limits.timeout;
        let answering = tokio::time::timeout(timeout + upload, self.http.request(request));
        let response = answering.await;
        let response = response.map_err(|_elapsed| lost("no answer in time"))?;
        let response = response.map_err(lost)?;
        let status = response.status();
        let body = read_body_with_idle_timeout(response.into_body(), MAX_ANSWER_BYTES, timeout);
        let body = body.await.map_err(lost)?;
        self.traffic.count_received(self.kind, body.len());
        Ok((status, body))
    }
}

/// Time that the upload of a body may take, in addition to the timeout of its answer.
fn max_upload_time(bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs(1).mul_f64(f64::from(bytes) / MIN_UPLOAD_BYTES_PER_S)
}

fn lost(reason: impl std::fmt::Display) -> PlatformError {
    PlatformError::Lost(reason.to_string())
}

fn parse<T: DeserializeOwned>(answer: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(answer).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Percent-encodes every byte that may not stand in a query's value.
fn percent_encode(text: &str) -> String {
    use std::fmt::Write as _;

    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

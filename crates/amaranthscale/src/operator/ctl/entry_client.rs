//! HTTP client of an entry's operator interface.

use std::error::Error;
use std::time::Duration;

use amaranthscale_core::id::TreeVersion;
use amaranthscale_core::version::{EditRecord, SettingsTree};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CtlError, EntryAddress};
use serde_json::Value;

use crate::entry::process::CostLine;
use crate::operator::{
    COST_PATH, EDITS_PATH, EditAccepted, EditConflict, EditRequest, Refusal, STATUS_PATH, TREE_PATH,
};

/// Timeout of a call; an edit needs one write of the table, which is slow during an outage.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an answer. A tree of 1,300 organisations is well below a megabyte.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// HTTP client of an entry's operator interface.
#[derive(Debug, Clone)]
pub struct EntryClient {
    entry: EntryAddress,
    authorization: HeaderValue,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl EntryClient {
    /// Creates a client that sends this `Authorization` header.
    #[must_use]
    pub fn new(entry: EntryAddress, mut authorization: HeaderValue) -> Self {
        authorization.set_sensitive(true);
        // The library must not retry: if a connection is lost after an edit was sent, the repeated
        // edit would conflict with the first, and the operator would see a false conflict. A lost
        // answer is settled by reading the edits.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            entry,
            authorization,
            http,
        }
    }

    /// Address of the entry.
    #[must_use]
    pub const fn entry(&self) -> EntryAddress {
        self.entry
    }

    /// Fetches the tree in force.
    pub async fn tree(&self) -> Result<SettingsTree, CtlError> {
        self.get(TREE_PATH).await
    }

    /// Fetches the edits after a version.
    pub async fn edits(&self, since: TreeVersion) -> Result<Vec<EditRecord>, CtlError> {
        self.get(&format!("{EDITS_PATH}?since={since}")).await
    }

    /// Fetches the entry's status report.
    pub async fn status(&self) -> Result<Value, CtlError> {
        self.get(STATUS_PATH).await
    }

    /// Fetches the cost by organisation and stage.
    pub async fn cost(&self) -> Result<Vec<CostLine>, CtlError> {
        self.get(COST_PATH).await
    }

    /// Sends an edit once.
    pub async fn post_edit(&self, request: &EditRequest) -> Result<EditAccepted, CtlError> {
        let (status, body) = self.call(Method::POST, EDITS_PATH, Some(request)).await?;
        if status == StatusCode::CONFLICT {
            let conflict: EditConflict = self.decode(status, &body)?;
            return Err(CtlError::Conflict(Box::new(conflict)));
        }
        self.decode_answer(status, &body)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let (status, body) = self.call(Method::GET, path, None::<&()>).await?;
        self.decode_answer(status, &body)
    }

    fn decode_answer<T: DeserializeOwned>(
        &self,
        status: StatusCode,
        body: &[u8],
    ) -> Result<T, CtlError> {
        match status {
            StatusCode::OK => self.decode(status, body),
            StatusCode::UNAUTHORIZED => Err(CtlError::WrongKey(self.entry)),
            _ => {
                let refusal: Refusal = self.decode(status, body)?;
                Err(CtlError::Refused(refusal))
            }
        }
    }

    fn decode<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Result<T, CtlError> {
        let unreadable = |cause: serde_json::Error| {
            CtlError::Unreadable(self.entry, status.as_u16(), cause.to_string())
        };
        serde_json::from_slice(body).map_err(unreadable)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<(StatusCode, Bytes), CtlError> {
        let exchange = self.exchange(method, path, body);
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(CtlError::Unreachable(
                self.entry,
                "no answer in time".to_owned(),
            )),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<(StatusCode, Bytes), CtlError> {
        let body = body.map_or(Ok(Vec::new()), serde_json::to_vec);
        let body = body.map_err(|cause| self.unreachable(&cause))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.entry))
            .header(AUTHORIZATION, self.authorization.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|cause| self.unreachable(&cause))?;
        let answer = self.http.request(request).await;
        let answer = answer.map_err(|cause| self.unreachable(&cause))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|cause| self.unreachable(cause.as_ref()))?;
        Ok((status, body.to_bytes()))
    }

    /// The error of a call, with its chain of causes.
    fn unreachable(&self, cause: &(dyn Error + 'static)) -> CtlError {
        let causes = std::iter::successors(Some(cause), |&cause| cause.source());
        let causes: Vec<_> = causes.map(ToString::to_string).collect();
        CtlError::Unreachable(self.entry, causes.join(": "))
    }
}

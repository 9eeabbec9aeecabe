//! Callers' requests.

use std::fmt::Write as _;

use amaranthscale_standins::http::HttpClient;
use hyper::body::Incoming;
use hyper::{Method, Response};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{Answer, EntryProcess, TokenStream};

/// Bearer key of a paid organisation of Delta Basin.
pub const MILL_ACCOUNTS_KEY: &str = "demo-delta-mill-accounts";
/// Bearer key of a trial organisation of Delta Basin.
pub const DRIVER_TRIAL_KEY: &str = "demo-delta-driver-trial";
/// Bearer key of Delta Basin's operators.
pub const OPERATOR_KEY: &str = "demo-delta-operator";

/// Maximum number of tries until a request has a final answer.
const MAX_TRIES: u32 = 60;

/// A caller's request, which can be sent several times under the same key.
#[derive(Debug, Clone)]
pub struct Request {
    path: String,
    bearer: String,
    key: Option<String>,
    deadline_ms: String,
    body: String,
}

impl Request {
    /// A settlement, which must not run twice, with an idempotency key derived from its marker.
    pub fn settlement(marker: &str) -> Self {
        let key = Some(format!("key-{marker}"));
        Self {
            key,
            ..Self::post("/v1/services/grower-ledger/settlements", marker)
        }
    }

    /// A balance query of the same service, which is repeatable.
    pub fn balance(marker: &str) -> Self {
        Self::post("/v1/services/grower-ledger/balances", marker)
    }

    /// An assessment by the four-stage pipeline, with an answer of `max_tokens` tokens.
    pub fn assessment(marker: &str, max_tokens: u32) -> Self {
        let body = json!({"marker": marker, "max_tokens": max_tokens});
        Self {
            body: body.to_string(),
            ..Self::post("/v1/pipelines/beet-intake", marker)
        }
    }

    fn post(path: &str, marker: &str) -> Self {
        Self {
            path: path.to_owned(),
            bearer: bearer(MILL_ACCOUNTS_KEY),
            key: None,
            deadline_ms: "20000".to_owned(),
            body: json!({"marker": marker, "tonnes": 17}).to_string(),
        }
    }

    /// The same request with another deadline; text, so that invalid ones can be sent.
    pub fn with_deadline(self, deadline_ms: &str) -> Self {
        let deadline_ms = deadline_ms.to_owned();
        Self {
            deadline_ms,
            ..self
        }
    }

    /// The same request with another body.
    pub fn with_body(self, body: impl Into<String>) -> Self {
        let body = body.into();
        Self { body, ..self }
    }

    /// The same request with another idempotency key, or without one.
    pub fn with_key(self, key: Option<&str>) -> Self {
        let key = key.map(str::to_owned);
        Self { key, ..self }
    }

    /// The same request with another bearer key.
    pub fn with_bearer(self, key: &str) -> Self {
        let bearer = bearer(key);
        Self { bearer, ..self }
    }

    /// The same request to another path.
    pub fn with_path(self, path: &str) -> Self {
        let path = path.to_owned();
        Self { path, ..self }
    }

    /// Table key of a settlement's claim row.
    pub fn claim_key(&self) -> String {
        let key = self.key.as_deref().expect("a settlement has a key");
        format!("claim/mill-accounts/{key}/0")
    }

    /// Digest of the body, which identifies executions of the request.
    pub fn digest(&self) -> String {
        let digest = Sha256::digest(self.body.as_bytes());
        digest.iter().fold(String::new(), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
            text
        })
    }

    /// Sends the request to an entry; `None` if the connection ended without an answer.
    pub async fn send(&self, entry: &EntryProcess) -> Option<Answer> {
        self.clone().send_to(entry.url(&self.path)).await
    }

    /// Sends the request to an entry in a separate task.
    pub fn send_in_background(&self, entry: &EntryProcess) -> JoinHandle<Option<Answer>> {
        tokio::spawn(self.clone().send_to(entry.url(&self.path)))
    }

    /// Sends the request until an answer asks for no retry, with the delays that answers ask for.
    pub async fn send_until_final(&self, entry: &EntryProcess) -> Answer {
        let mut last = None;
        for _ in 0..MAX_TRIES {
            let answer = self.send(entry).await.expect("the entry answers");
            if answer.retry_after_ms.is_none() {
                return answer;
            }
            sleep(answer.retry_delay()).await;
            last = Some(answer);
        }
        panic!("{self:?} has no final answer after {MAX_TRIES} tries; the last: {last:?}")
    }

    /// Sends the request to an entry and returns the stream of its tokens.
    pub async fn stream(&self, entry: &EntryProcess) -> TokenStream {
        let url = entry.url(&self.path);
        TokenStream::new(self.open(&url, &[("accept", "text/event-stream")]).await)
    }

    async fn send_to(self, url: String) -> Option<Answer> {
        let headers = self.headers(&[]);
        let http = HttpClient::new();
        let reply = http.post(url, &headers, self.body.clone()).await.ok()?;
        Some(Answer::read(&reply))
    }

    async fn open(&self, url: &str, extra: &[(&str, &str)]) -> Response<Incoming> {
        let headers = self.headers(extra);
        let (http, body) = (HttpClient::new(), self.body.clone());
        let opened = http.open(Method::POST, url, &headers, body).await;
        opened.expect("the entry begins to answer")
    }

    fn headers<'a>(&'a self, extra: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
        let mut headers = vec![
            ("authorization", self.bearer.as_str()),
            ("x-deadline-ms", self.deadline_ms.as_str()),
        ];
        headers.extend(self.key.as_deref().map(|key| ("idempotency-key", key)));
        headers.extend(extra);
        headers
    }
}

/// Value of the `authorization` header for a bearer key.
pub fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Body of an operator's edit of the given version of the tree.
pub fn edit(expected_version: u64, by: &str, edit: &Value) -> Value {
    json!({"expected_version": expected_version, "by": by, "edit": edit})
}

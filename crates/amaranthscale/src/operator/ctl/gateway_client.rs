//! HTTP client of a gateway's operator listener.

use std::error::Error;
use std::time::Duration;

use amaranthscale_core::id::ServerId;
use amaranthscale_core::process::Suspect;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use super::{CtlError, GatewayAddress};
use crate::operator::{
    ChangeAnswer, ChangeOutcome, ChangeRequest, DRAIN_PATH, GATEWAY_SERVERS_PATH, GatewayServers,
    HeldBack, QUARANTINE_LIFT_PATH, QUARANTINE_LIST_PATH, UNDRAIN_PATH,
};

/// Timeout of a call; a change needs one write of the store, which a gateway gives up after 2 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an answer. A list of 1,100 servers is below a megabyte.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client of a gateway's operator listener.
#[derive(Debug, Clone)]
pub struct GatewayClient {
    gateway: GatewayAddress,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call brought no answer.
#[derive(Debug)]
struct CallError {
    /// Whether the gateway may have received the call.
    may_have_arrived: bool,
    reason: String,
}

impl GatewayClient {
    /// Creates a client.
    #[must_use]
    pub fn new(gateway: GatewayAddress) -> Self {
        // The library must not retry: a change whose answer is lost is reported as such.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { gateway, http }
    }

    /// Fetches how the gateway uses the servers.
    pub async fn servers(&self) -> Result<GatewayServers, CtlError> {
        let body = self.get(GATEWAY_SERVERS_PATH).await?;
        serde_json::from_slice(&body).map_err(|cause| self.unreadable(StatusCode::OK, &cause))
    }

    /// Fetches the quarantined requests and prompt parts.
    pub async fn held_back(&self) -> Result<Vec<HeldBack>, CtlError> {
        let body = self.get(QUARANTINE_LIST_PATH).await?;
        let text = String::from_utf8_lossy(&body);
        let requests = text.lines().map(|line| {
            line.parse()
                .map_err(|reason: String| self.unreadable(StatusCode::OK, &reason))
        });
        requests.collect()
    }

    /// Lifts the quarantine of a request or prompt part; returns the gateway's confirmation.
    pub async fn lift(&self, suspect: &Suspect) -> Result<String, CtlError> {
        let path = format!("{QUARANTINE_LIFT_PATH}{suspect}");
        let (status, body) = self.post(&path, Bytes::new(), "gateway held-back").await?;
        let text = String::from_utf8_lossy(&body).trim_end().to_owned();
        let is_about_suspect = text.starts_with(&suspect.to_string());
        match status {
            StatusCode::OK if is_about_suspect => Ok(text),
            StatusCode::NOT_FOUND if is_about_suspect => Err(CtlError::GatewayRefused(format!(
                "{suspect} is not held back at {}: look at gateway held-back",
                self.gateway
            ))),
            _ => Err(self.unreadable(status, &"no word about the request")),
        }
    }

    /// Drains a server; returns the gateway's confirmation.
    pub async fn drain(&self, server: &ServerId, by: &str) -> Result<String, CtlError> {
        self.change(&format!("{DRAIN_PATH}{server}"), by).await
    }

    /// Ends the drain of a server; returns the gateway's confirmation.
    pub async fn undrain(&self, server: &ServerId, by: &str) -> Result<String, CtlError> {
        self.change(&format!("{UNDRAIN_PATH}{server}"), by).await
    }

    async fn change(&self, path: &str, by: &str) -> Result<String, CtlError> {
        let request = json!(ChangeRequest { by: by.to_owned() });
        let body = request.to_string().into();
        let (status, body) = self.post(path, body, "gateway servers").await?;
        let answer: Result<ChangeAnswer, _> = serde_json::from_slice(&body);
        let ChangeAnswer { outcome, text } =
            answer.map_err(|cause| self.unreadable(status, &cause))?;
        match outcome {
            ChangeOutcome::Done => Ok(text),
            ChangeOutcome::Invalid | ChangeOutcome::NotFound => Err(CtlError::GatewayRefused(text)),
            ChangeOutcome::NotDone => Err(CtlError::GatewayChangeNotDone(self.gateway, text)),
            ChangeOutcome::Unknown => Err(CtlError::GatewayChangeUnknown(
                self.gateway,
                text,
                "gateway servers",
            )),
        }
    }

    async fn get(&self, path: &str) -> Result<Bytes, CtlError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        let (status, body) =
            answer.map_err(|error| CtlError::GatewayUnreachable(self.gateway, error.reason))?;
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(self.unreadable(status, &"the status is not 200"))
        }
    }

    /// Sends a change once; `look_at` is the command that shows whether it happened.
    async fn post(
        &self,
        path: &str,
        body: Bytes,
        look_at: &'static str,
    ) -> Result<(StatusCode, Bytes), CtlError> {
        let answer = self.call(Method::POST, path, body).await;
        answer.map_err(|error| {
            if error.may_have_arrived {
                CtlError::GatewayChangeUnknown(self.gateway, error.reason, look_at)
            } else {
                CtlError::GatewayUnreachable(self.gateway, error.reason)
            }
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = self.exchange(method, path, body);
        let late = |_elapsed| CallError {
            may_have_arrived: true,
            reason: "no answer in time".to_owned(),
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(late)?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.gateway))
            .body(Full::new(body))
            .map_err(|error| call_error(false, &error))?;
        let answer = self.http.request(request).await;
        let answer = answer.map_err(|error| call_error(!error.is_connect(), &error))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| call_error(true, error.as_ref()))?;
        Ok((status, body.to_bytes()))
    }

    fn unreadable(&self, status: StatusCode, cause: &dyn ToString) -> CtlError {
        CtlError::GatewayUnreadable(self.gateway, status.as_u16(), cause.to_string())
    }
}

/// The error of a call, with its chain of causes.
fn call_error(may_have_arrived: bool, cause: &(dyn Error + 'static)) -> CallError {
    let causes = std::iter::successors(Some(cause), |&cause| cause.source());
    let causes: Vec<_> = causes.map(ToString::to_string).collect();
    CallError {
        may_have_arrived,
        reason: causes.join(": "),
    }
}

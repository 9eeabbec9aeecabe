//! Answers of the gateway to requests that got no server's answer.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::super::process::{GatewayContext, NoServerAvailable};
use super::answer::{AnswerBody, full_body};

/// Default retry delay for callers.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay while all servers of a service are in evacuated zones. Longer than the default, as
/// operators take a zone back only after seconds or minutes and earlier retries would be in vain.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Retry delay where most likely only this gateway is affected, as the caller's retry reaches
/// another gateway. Not zero, so that callers that were refused together do not retry at the same
/// moment. Not used by a gateway that is starting: after a power failure all gateways start
/// together, and an early retry would be spent before any of them is ready.
const OTHER_GATEWAY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Retry delay of a quarantined request, which stays quarantined for as long as it is sent
/// unchanged.
const QUARANTINED_RETRY_DELAY: Duration = Duration::from_mins(10);

/// Why a request got no server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: ResultCode,
    /// Retry delay for the caller.
    pub retry_after: Option<Duration>,
    /// Whether to close the connection, as the rest of the request was not read.
    pub closes_connection: bool,
}

impl Refusal {
    /// A refusal with the code's default retry delay.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            closes_connection: false,
        }
    }

    /// A refusal where no server of the service can be chosen.
    #[must_use]
    pub const fn no_server_available(none: NoServerAvailable) -> Self {
        Self {
            retry_after: none.retry_after,
            ..Self::new(none.code)
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Closes the connection after the answer.
    #[must_use]
    pub const fn closing(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Builds the response, and counts it by its code.
    pub(super) fn response(self, context: &GatewayContext) -> Response<AnswerBody> {
        context.counters.count_reason("refused", self.code.name());
        let body = format!(
            "{{\"code\":{},\"message\":\"{}\"}}",
            self.code.number(),
            self.code.text()
        );
        let mut response = Response::new(full_body(body));
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.code.is_retryable() {
            let default_delay = match self.code {
                ResultCode::ZonesEvacuated => EVACUATED_RETRY_DELAY,
                ResultCode::RequestQuarantined | ResultCode::PromptPartQuarantined => {
                    QUARANTINED_RETRY_DELAY
                }
                ResultCode::KnowledgeStale
                | ResultCode::RoutingBehind
                | ResultCode::EntryFull
                | ResultCode::StreamOriginUnknown => OTHER_GATEWAY_RETRY_DELAY,
                _ => DEFAULT_RETRY_DELAY,
            };
            let retry_after = self.retry_after.unwrap_or(default_delay);
            headers.insert(RETRY_AFTER, (context.dialect.retry_after)(retry_after));
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

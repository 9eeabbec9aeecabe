//! Answers of the gateway's own.

use std::time::Duration;

use amaranthscale_core::ResultCode;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::super::process::{GatewayContext, NoServerAvailable};
use super::answer::{AnswerBody, whole};

/// Time after which a caller may come back if nothing better is known.
const USUAL_RETRY: Duration = Duration::from_millis(500);

/// The same while all servers of a service are in evacuated zones: operators take one back after
/// seconds or minutes, and a caller with more time left asks again in vain more often before that.
const EVACUATED_RETRY: Duration = Duration::from_secs(1);

/// The same where the cause is most likely this gateway's alone: another one, which a caller's next try
/// reaches, can serve it now. Not zero, so that callers that were refused together do not come back in one
/// moment. Not for a gateway that starts: after a loss of power all others start with it, and a caller sent
/// on at once has spent its next try before any of them is ready.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(20);

/// The same where servers crash under the request: sent unchanged, it is held back for as long as it comes.
const QUARANTINED_RETRY: Duration = Duration::from_mins(10);

/// Why a request got no server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The numbered result.
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Whether the connection ends: the rest of the request was not read.
    pub closes: bool,
}

impl Refused {
    /// A refusal that leaves open when to come back.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            closes: false,
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

    /// Says when to come back.
    #[must_use]
    pub const fn come_back_in(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Ends the connection after the answer.
    #[must_use]
    pub const fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// The response, counted by its code.
    pub(super) fn response(self, context: &GatewayContext) -> Response<AnswerBody> {
        context.counters.count_reason("refused", self.code.name());
        let body = format!(
            "{{\"code\":{},\"message\":\"{}\"}}",
            self.code.number(),
            self.code.text()
        );
        let mut response = Response::new(whole(body));
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.code.is_retryable() {
            let usual = match self.code {
                ResultCode::ZonesEvacuated => EVACUATED_RETRY,
                ResultCode::RequestQuarantined => QUARANTINED_RETRY,
                ResultCode::KnowledgeStale | ResultCode::RoutingBehind => ELSEWHERE_RETRY,
                _ => USUAL_RETRY,
            };
            let retry_after = self.retry_after.unwrap_or(usual);
            headers.insert(RETRY_AFTER, (context.dialect.retry_after)(retry_after));
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

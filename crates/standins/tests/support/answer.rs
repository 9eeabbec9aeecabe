//! The answer to a caller's request.

use std::time::Duration;

use amaranthscale_standins::http::HttpReply;
use hyper::HeaderMap;
use serde_json::Value;

/// Delay before a retry where the answer does not state one.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// The answer to a caller's request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Number of the result code (`x-amaranth-code`).
    pub code: u16,
    /// Whether the request ran: yes, no or unknown.
    pub ran: String,
    /// Delay before a retry, if the answer asks for one.
    pub retry_after_ms: Option<u64>,
    /// The body as JSON; null if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Parses a reply.
    ///
    /// Panics if the reply has no result code or does not state whether the request ran.
    pub fn read(reply: &HttpReply) -> Self {
        let code = text(&reply.headers, "x-amaranth-code");
        let code = code.unwrap_or_else(|| panic!("an answer without a result code: {reply:?}"));
        Self {
            code: code.parse().expect("a result code is a number"),
            ran: text(&reply.headers, "x-amaranth-ran")
                .expect("each answer states whether the request ran"),
            retry_after_ms: text(&reply.headers, "x-retry-after-ms")
                .map(|delay| delay.parse().expect("a number of milliseconds")),
            body: reply.json().unwrap_or_default(),
        }
    }

    /// Whether the result code is `Complete`.
    pub fn is_complete(&self) -> bool {
        self.code == 1000
    }

    /// Digest of the request body that the backend server received.
    pub fn body_digest(&self) -> Option<&str> {
        self.body["body_digest"].as_str()
    }

    /// Time to wait before a retry.
    pub fn retry_delay(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str();
    Some(value.expect("a header in ASCII").to_owned())
}

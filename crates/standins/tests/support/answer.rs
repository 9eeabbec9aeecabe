//! The answer that a caller got.

use std::time::Duration;

use amaranthscale_standins::http::HttpReply;
use hyper::HeaderMap;
use serde_json::Value;

/// Shortest wait before a refused request is made again, where the answer names none.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// The answer that a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Number of the result code.
    pub code: u16,
    /// Whether the request ran: yes, no or unknown.
    pub ran: String,
    /// When to ask again.
    pub retry_after_ms: Option<u64>,
    /// The body as JSON; null if it is none.
    pub body: Value,
}

impl Answer {
    /// Reads an answer.
    pub fn read(reply: &HttpReply) -> Self {
        let code = text(&reply.headers, "x-amaranth-code");
        let code = code.unwrap_or_else(|| panic!("an answer without a code: {reply:?}"));
        Self {
            code: code.parse().expect("a result code is a number"),
            ran: text(&reply.headers, "x-amaranth-ran").expect("each answer says whether it ran"),
            retry_after_ms: text(&reply.headers, "x-retry-after-ms")
                .map(|wait| wait.parse().expect("a number of milliseconds")),
            body: reply.json().unwrap_or_default(),
        }
    }

    /// Whether the whole answer is here.
    pub fn is_complete(&self) -> bool {
        self.code == 1000
    }

    /// Digest of the request's body as the backend server saw it.
    pub fn body_digest(&self) -> Option<&str> {
        self.body["body_digest"].as_str()
    }

    /// Time to wait before asking again.
    pub fn pause(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str();
    Some(value.expect("a header in ASCII").to_owned())
}

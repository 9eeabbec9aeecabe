//! A caller that checks the answers and retries after the delay that a refusal states.

use std::time::Duration;

use hyper::HeaderMap;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::CallerAnswer;
use crate::http::{HttpClient, HttpReply};

/// Default maximum number of tries of one request.
const MAX_TRIES: u32 = 20;
/// Default number of tokens requested.
const DEFAULT_MAX_TOKENS: u32 = 24;
/// Characters of an answer's text that reports show.
const MAX_EXCERPT_CHARACTERS: usize = 60;

/// A caller of one organisation.
#[derive(Debug, Clone)]
pub struct Caller {
    organisation: String,
    class: String,
    key: String,
    deadline: Duration,
    max_tokens: u32,
    max_tries: u32,
    prefix: Option<String>,
    is_deadline_total: bool,
    http: HttpClient,
}

impl Caller {
    /// A caller with an organisation's key.
    pub fn new(
        organisation: impl Into<String>,
        class: impl Into<String>,
        key: impl Into<String>,
    ) -> Self {
        Self {
            organisation: organisation.into(),
            class: class.into(),
            key: key.into(),
            deadline: Duration::from_secs(9),
            max_tokens: DEFAULT_MAX_TOKENS,
            max_tries: MAX_TRIES,
            prefix: None,
            is_deadline_total: false,
            http: HttpClient::new(),
        }
    }

    /// Sets the deadline, which applies to each try unless it is a total deadline.
    #[must_use]
    pub const fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the length of generated answers.
    #[must_use]
    pub const fn with_max_tokens(mut self, max_tokens: u32) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    /// Sets the maximum number of tries of a refused request.
    #[must_use]
    pub const fn with_max_tries(mut self, max_tries: u32) -> Self {
        self.max_tries = max_tries;
        self
    }

    /// Sets the prompts' prefix, the key of engines' prefix caches; by default the
    /// organisation's name.
    #[must_use]
    pub fn with_prefix(mut self, prefix: impl Into<String>) -> Self {
        self.prefix = Some(prefix.into());
        self
    }

    /// Makes the deadline apply to all tries together, as for a person who waits for the answer.
    #[must_use]
    pub const fn with_total_deadline(mut self) -> Self {
        self.is_deadline_total = true;
        self
    }

    /// Organisation of the caller.
    #[must_use]
    pub fn organisation(&self) -> &str {
        &self.organisation
    }

    /// Sends a request to a pipeline; the answer must contain the marker and all its tokens.
    pub async fn ask(&self, entry: &str, path: &str, marker: &str) -> CallerAnswer {
        let body = json!({
            "marker": marker,
            "max_tokens": self.max_tokens,
            "prefix": self.prefix.as_ref().unwrap_or(&self.organisation),
        });
        let tokens = u64::from(self.max_tokens);
        let check = move |reply: &Value, marker: &str| {
            let result = &reply["result"];
            let text = result["text"].as_str().unwrap_or_default();
            result["tokens"].as_u64() == Some(tokens) && text.contains(marker)
        };
        self.send(entry, path, &body, None, marker, check).await
    }

    /// Makes a call that must not be repeated; the marker is its idempotency key.
    pub async fn settle(&self, entry: &str, path: &str, marker: &str) -> CallerAnswer {
        let body = json!({"marker": marker, "grower": self.organisation});
        let digest = body_digest(&body);
        let check = move |reply: &Value, _marker: &str| reply["body_digest"] == digest.as_str();
        self.send(entry, path, &body, Some(marker), marker, check)
            .await
    }

    async fn send(
        &self,
        entry: &str,
        path: &str,
        body: &Value,
        key: Option<&str>,
        marker: &str,
        check: impl Fn(&Value, &str) -> bool,
    ) -> CallerAnswer {
        let started = Instant::now();
        let mut answer = self.unanswered(marker);
        while answer.tries < self.max_tries {
            answer.tries += 1;
            let remaining = self.remaining(started);
            let reply = self.post(entry, path, body, key, remaining).await;
            let retry_delay = record_reply(&mut answer, reply.as_ref(), &check);
            answer.elapsed = started.elapsed();
            match retry_delay {
                Some(retry_delay) if self.should_retry(&answer, retry_delay) => {
                    answer.retried_codes.push(answer.code);
                    sleep(retry_delay).await;
                }
                _ => break,
            }
        }
        answer
    }

    /// The deadline to send with a try.
    fn remaining(&self, started: Instant) -> Duration {
        if self.is_deadline_total {
            self.deadline.saturating_sub(started.elapsed())
        } else {
            self.deadline
        }
    }

    fn should_retry(&self, answer: &CallerAnswer, retry_delay: Duration) -> bool {
        let is_past_deadline =
            self.is_deadline_total && answer.elapsed + retry_delay >= self.deadline;
        answer.tries < self.max_tries && !is_past_deadline
    }

    async fn post(
        &self,
        entry: &str,
        path: &str,
        body: &Value,
        key: Option<&str>,
        deadline: Duration,
    ) -> Option<HttpReply> {
        let bearer = format!("Bearer {}", self.key);
        let deadline_ms = deadline.as_millis().max(1).to_string();
        let mut headers = vec![
            ("authorization", bearer.as_str()),
            ("x-deadline-ms", deadline_ms.as_str()),
            ("content-type", "application/json"),
        ];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let url = format!("{entry}{path}");
        let sent = self.http.post(url, &headers, body.to_string());
        sent.await.ok()
    }

    fn unanswered(&self, marker: &str) -> CallerAnswer {
        CallerAnswer {
            organisation: self.organisation.clone(),
            class: self.class.clone(),
            marker: marker.to_owned(),
            code: 0,
            ran: String::new(),
            is_correct: false,
            tries: 0,
            retried_codes: Vec::new(),
            deadline: self.deadline,
            elapsed: Duration::ZERO,
            text: String::new(),
        }
    }
}

/// Records an answer; returns the retry delay if it was a refusal.
fn record_reply(
    answer: &mut CallerAnswer,
    reply: Option<&HttpReply>,
    check: &impl Fn(&Value, &str) -> bool,
) -> Option<Duration> {
    let Some(reply) = reply else {
        // Without an answer only a keyed call may be retried, and the same key makes that safe.
        return None;
    };
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    answer.code = number_header(&reply.headers, "x-amaranth-code").unwrap_or_default();
    answer.ran = text_header(&reply.headers, "x-amaranth-ran");
    answer.is_correct = answer.is_complete() && check(&body, &answer.marker);
    answer.text = excerpt(&body);
    let wait_ms: u64 = number_header(&reply.headers, "x-retry-after-ms")?;
    Some(Duration::from_millis(wait_ms))
}

fn number_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn text_header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn excerpt(body: &Value) -> String {
    let text = body["result"]["text"]
        .as_str()
        .or_else(|| body["body_digest"].as_str());
    text.unwrap_or_default()
        .chars()
        .take(MAX_EXCERPT_CHARACTERS)
        .collect()
}

/// Digest of a body, in the format that the plain service stand-in records.
fn body_digest(body: &Value) -> String {
    use std::fmt::Write as _;

    use sha2::{Digest as _, Sha256};

    let mut text = String::new();
    for byte in Sha256::digest(body.to_string().as_bytes()) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

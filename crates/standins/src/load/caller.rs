//! A caller who checks the answers and comes back when told to.

use std::time::Duration;

use hyper::HeaderMap;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::CallerAnswer;
use crate::http::{HttpClient, HttpReply};

/// Most tries at one request.
const MAX_TRIES: u32 = 20;
/// Tokens asked for.
const DEFAULT_MAX_TOKENS: u32 = 24;
/// Characters of an answer that are shown.
const SHOWN_CHARACTERS: usize = 60;

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
    gives_up_at_deadline: bool,
    http: HttpClient,
}

impl Caller {
    /// A caller who holds an organisation's key.
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
            gives_up_at_deadline: false,
            http: HttpClient::new(),
        }
    }

    /// Sets the deadline of each try.
    #[must_use]
    pub const fn within(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the length of generated answers.
    #[must_use]
    pub const fn asking_for_tokens(mut self, max_tokens: u32) -> Self {
        self.max_tokens = max_tokens;
        self
    }

    /// Sets how often a refused request is tried.
    #[must_use]
    pub const fn trying(mut self, max_tries: u32) -> Self {
        self.max_tries = max_tries;
        self
    }

    /// Sets the prefix of prompts, by which engines cache them; else the organisation's name.
    #[must_use]
    pub fn with_prefix(mut self, prefix: impl Into<String>) -> Self {
        self.prefix = Some(prefix.into());
        self
    }

    /// Makes the deadline hold for all tries together, as for a caller who waits at a gate.
    #[must_use]
    pub const fn giving_up_at_deadline(mut self) -> Self {
        self.gives_up_at_deadline = true;
        self
    }

    /// Organisation of the caller.
    #[must_use]
    pub fn organisation(&self) -> &str {
        &self.organisation
    }

    /// Asks a pipeline; the answer must hold the marker and all its tokens.
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

    /// Makes a call that may not be repeated, under a key made of the marker.
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
        let mut answer = self.no_answer(marker);
        while answer.tries < self.max_tries {
            answer.tries += 1;
            let left = self.left(started);
            let reply = self.post(entry, path, body, key, left).await;
            let wait = read(&mut answer, reply.as_ref(), &check);
            answer.elapsed = started.elapsed();
            match wait {
                Some(wait) if self.comes_back(&answer, wait) => {
                    answer.refused_codes.push(answer.code);
                    sleep(wait).await;
                }
                _ => break,
            }
        }
        answer
    }

    /// The deadline to ask for.
    fn left(&self, started: Instant) -> Duration {
        if self.gives_up_at_deadline {
            self.deadline.saturating_sub(started.elapsed())
        } else {
            self.deadline
        }
    }

    fn comes_back(&self, answer: &CallerAnswer, wait: Duration) -> bool {
        let is_late = self.gives_up_at_deadline && answer.elapsed + wait >= self.deadline;
        answer.tries < self.max_tries && !is_late
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

    fn no_answer(&self, marker: &str) -> CallerAnswer {
        CallerAnswer {
            organisation: self.organisation.clone(),
            class: self.class.clone(),
            marker: marker.to_owned(),
            code: 0,
            ran: String::new(),
            is_correct: false,
            tries: 0,
            refused_codes: Vec::new(),
            deadline: self.deadline,
            elapsed: Duration::ZERO,
            text: String::new(),
        }
    }
}

/// Takes an answer in, and says when to come back if it was a refusal.
fn read(
    answer: &mut CallerAnswer,
    reply: Option<&HttpReply>,
    check: &impl Fn(&Value, &str) -> bool,
) -> Option<Duration> {
    let Some(reply) = reply else {
        // Without an answer only a keyed call may be made again, and the same key makes it safe.
        return None;
    };
    let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    answer.code = number_header(&reply.headers, "x-amaranth-code").unwrap_or_default();
    answer.ran = text_header(&reply.headers, "x-amaranth-ran");
    answer.is_correct = answer.is_complete() && check(&body, &answer.marker);
    answer.text = shown(&body);
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

fn shown(body: &Value) -> String {
    let text = body["result"]["text"]
        .as_str()
        .or_else(|| body["body_digest"].as_str());
    text.unwrap_or_default()
        .chars()
        .take(SHOWN_CHARACTERS)
        .collect()
}

/// Digest of a body as a plain service stand-in records it.
fn body_digest(body: &Value) -> String {
    use std::fmt::Write as _;

    use sha2::{Digest as _, Sha256};

    let mut text = String::new();
    for byte in Sha256::digest(body.to_string().as_bytes()) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

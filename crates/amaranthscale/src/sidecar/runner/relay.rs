//! Copies a backend server's result to an attempt's answer.

use super::token_count::TokenCount;
use amaranthscale_core::ResultCode;
use amaranthscale_core::process::ServerBackoff;
use amaranthscale_core::wire::{Outcome, ResultDigest};
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::http::response;
use sha2::{Digest as _, Sha256};

use crate::connection::{BodyEnd, BodyPart};
use crate::process::ms;
use crate::sidecar::backend_client::{BackendClient, BackendReply, Sender, is_turned_away};
use crate::sidecar::call_error::CallError;
use crate::sidecar::job::Job;

/// Header that a backend server sets on a refusal to state that the call did not run.
const NOT_RUN: &str = "x-not-run";
/// Header with the number of generated tokens, if the server knows it before it answers.
const TOKENS: &str = "x-tokens";
/// Content type of a stream with one token per line.
const STREAM_CONTENT_TYPE: &str = "application/x-ndjson";
/// Multiple of the largest result that is read and discarded after a result became too large.
const MAX_DISCARDED_RESULTS: usize = 4;

/// Copies a backend server's result to an attempt's answer.
#[derive(Debug)]
pub(super) struct Relay<'a> {
    job: &'a Job,
    hasher: Sha256,
    length_bytes: u64,
    token_count: TokenCount,
    /// Bytes that were discarded since the result became too large; none while it is not.
    discarded_bytes: Option<usize>,
    /// The whole result of a claimed call, which is also stored in the table.
    result: BytesMut,
}

/// A result that was copied completely.
#[derive(Debug)]
pub(super) struct Relayed {
    pub(super) outcome: Outcome,
    /// The whole result of a claimed call; empty for others.
    pub(super) result: Bytes,
    /// The connection, for reuse.
    pub(super) sender: Option<Sender>,
}

impl<'a> Relay<'a> {
    pub(super) fn new(job: &'a Job) -> Self {
        Self {
            job,
            hasher: Sha256::new(),
            length_bytes: 0,
            token_count: TokenCount::default(),
            discarded_bytes: None,
            result: BytesMut::new(),
        }
    }

    pub(super) async fn run(
        mut self,
        reply: BackendReply,
        backend: &BackendClient,
    ) -> Result<Relayed, CallError> {
        let BackendReply {
            head,
            mut body,
            sender,
            backoff,
        } = reply;
        if states_not_run(&head) {
            return Ok(Relayed {
                outcome: refusal_outcome(head.status, backoff),
                result: Bytes::new(),
                sender: None,
            });
        }
        let end = loop {
            let part = body.next().await;
            match part.map_err(|error| CallError::ConnectionLost(error.to_string()))? {
                BodyPart::Data(data) => self.take(&data)?,
                BodyPart::End(end) => break end,
            }
        };
        if !self.is_complete(end, &head.headers, backend).await {
            let reason = "it ended before the answer did".to_owned();
            return Err(CallError::ConnectionLost(reason));
        }
        if self.discarded_bytes.is_some() {
            return Err(CallError::TooLarge);
        }
        Ok(self.end(head.status, &head.headers, sender))
    }

    /// Whether the answer is complete: a stream whose connection ended has an end line, and after any
    /// other such answer the backend server still runs.
    async fn is_complete(
        &self,
        end: BodyEnd,
        headers: &HeaderMap,
        backend: &BackendClient,
    ) -> bool {
        if end == BodyEnd::ConnectionClosed && is_stream(headers) {
            self.token_count.is_ended()
        } else {
            backend.is_complete(end).await
        }
    }

    fn take(&mut self, data: &Bytes) -> Result<(), CallError> {
        if data.is_empty() {
            return Ok(());
        }
        if let Some(discarded_bytes) = self.discarded_bytes {
            return self.discard(discarded_bytes + data.len());
        }
        if self.job.answer.push(data).is_err() {
            return self.overflow();
        }
        self.hasher.update(data);
        self.length_bytes += u64::try_from(data.len()).unwrap_or(u64::MAX);
        self.token_count.take(data);
        if !self.job.is_repeatable() {
            self.result.extend_from_slice(data);
        }
        Ok(())
    }

    /// Discards a result up to a size, beyond which it seems to have no end.
    fn discard(&mut self, discarded_bytes: usize) -> Result<(), CallError> {
        let max_bytes = self.job.answer.max_bytes();
        if discarded_bytes > max_bytes.saturating_mul(MAX_DISCARDED_RESULTS) {
            return Err(CallError::TooLarge);
        }
        self.discarded_bytes = Some(discarded_bytes);
        Ok(())
    }

    /// Fails repeatable work; the result of a call that may not be repeated is read on and
    /// discarded, since closing the connection could abort the call half-way.
    fn overflow(&mut self) -> Result<(), CallError> {
        if self.job.is_repeatable() {
            return Err(CallError::TooLarge);
        }
        self.discarded_bytes = Some(0);
        Ok(())
    }

    fn end(self, status: StatusCode, headers: &HeaderMap, sender: Sender) -> Relayed {
        let is_failed = status.is_client_error() || status.is_server_error();
        let code = if is_failed {
            ResultCode::BackendFailed
        } else {
            ResultCode::Complete
        };
        let mut outcome = Outcome::without_result(code);
        outcome.backend_status = status.as_u16();
        outcome.length_bytes = self.length_bytes;
        outcome.digest = ResultDigest::from_bytes(self.hasher.finalize().into());
        outcome.cost.tokens = header_number(headers, TOKENS).unwrap_or_else(|| {
            if is_stream(headers) {
                self.token_count.tokens()
            } else {
                0
            }
        });
        Relayed {
            outcome,
            result: self.result.freeze(),
            sender: Some(sender),
        }
    }
}

/// Whether the backend server states that it did not run the call.
fn states_not_run(head: &response::Parts) -> bool {
    let not_run = head.headers.get(NOT_RUN);
    is_turned_away(head.status) && not_run.is_some_and(|value| value == "1")
}

fn refusal_outcome(status: StatusCode, backoff: Option<ServerBackoff>) -> Outcome {
    let mut outcome = Outcome::without_result(ResultCode::QueueFull);
    outcome.backend_status = status.as_u16();
    outcome.retry_after_ms = backoff.map(|backoff| ms(backoff.time()));
    outcome
}

fn is_stream(headers: &HeaderMap) -> bool {
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with(STREAM_CONTENT_TYPE))
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

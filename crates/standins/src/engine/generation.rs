//! Generates tokens and streams them, one line each.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::backend::Digest;
use crate::engine::cancellation_registry::Cancellation;
use crate::engine::engine_state::EngineState;
use crate::engine::execution_log::RunningExecution;
use crate::engine::prompt::Prompt;
use crate::engine::slot_queue::Slot;
use crate::http::{Answer, Chunk, ReplyBody, cut_off};

/// Lines buffered for a slow reader before generation pauses.
const MAX_BUFFERED_LINES: usize = 64;
/// Words that tokens are drawn from.
const WORDS: [&str; 8] = [
    "beet", "truck", "yard", "grower", "letter", "case", "unit", "family",
];

/// A running sequence, with the resources that it uses.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) state: Arc<EngineState>,
    /// Held until the sequence ends.
    pub(crate) slot: Slot,
    pub(crate) execution: RunningExecution,
    pub(crate) prompt: Prompt,
    pub(crate) digest: Digest,
    pub(crate) resume_token: u32,
}

#[derive(Debug, Serialize)]
struct TokenLine {
    token: u32,
    text: String,
}

#[derive(Debug, Serialize)]
struct EndLine {
    end: End,
}

#[derive(Debug, Serialize)]
struct End {
    tokens: u32,
    input_digest: Digest,
}

impl Generation {
    /// Starts generation; the answer streams the lines as they are generated.
    pub(crate) fn start(self, cancellation: Cancellation) -> Answer {
        let (lines, body) = mpsc::channel(MAX_BUFFERED_LINES);
        tokio::spawn(self.run(cancellation, lines));
        let mut answer = Response::new(ReplyBody::Chunks(body));
        let content_type = HeaderValue::from_static("application/x-ndjson");
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
        answer
    }

    /// Runs until completion, a cancellation, or the reader's disconnection.
    async fn run(self, mut cancellation: Cancellation, lines: mpsc::Sender<Chunk>) {
        let was_cancelled = tokio::select! {
            () = self.generate(&lines) => false,
            () = cancellation.cancelled() => true,
            () = lines.closed() => false,
        };
        drop(self);
        if was_cancelled {
            cut_off(&lines).await;
        }
    }

    async fn generate(&self, lines: &mpsc::Sender<Chunk>) {
        self.state.prefill(&self.prompt).await;
        let end = self.prompt.max_tokens;
        if self.state.faults.take_break() {
            let half = self.resume_token + end.saturating_sub(self.resume_token) / 2;
            self.generate_tokens(half, lines).await;
            cut_off(lines).await;
        } else {
            self.generate_tokens(end, lines).await;
            self.execution.finish();
            send_line(lines, &self.end_line()).await;
        }
    }

    async fn generate_tokens(&self, end: u32, lines: &mpsc::Sender<Chunk>) {
        for token in self.resume_token..end {
            self.state.token_step(&self.slot).await;
            self.execution.count_token();
            send_line(lines, &self.token_line(token)).await;
        }
    }

    fn token_line(&self, token: u32) -> TokenLine {
        let word = usize::from(self.digest.byte(token)) % WORDS.len();
        let marker = self.prompt.marker.as_ref().filter(|_| token == 0);
        let marker = marker.map(|marker| format!("[{marker}] "));
        TokenLine {
            token,
            text: format!("{}{}{token} ", marker.unwrap_or_default(), WORDS[word]),
        }
    }

    fn end_line(&self) -> EndLine {
        EndLine {
            end: End {
                tokens: self.prompt.max_tokens,
                input_digest: self.digest,
            },
        }
    }
}

async fn send_line(lines: &mpsc::Sender<Chunk>, line: &impl Serialize) {
    match serde_json::to_vec(line) {
        Ok(mut text) => {
            text.push(b'\n');
            send(lines, Ok(Bytes::from(text))).await;
        }
        Err(error) => log::error!("engine: line not written: {error}"),
    }
}

async fn send(lines: &mpsc::Sender<Chunk>, chunk: Chunk) {
    if lines.send(chunk).await.is_err() {
        log::debug!("engine: reader gone, sequence cancelled");
    }
}

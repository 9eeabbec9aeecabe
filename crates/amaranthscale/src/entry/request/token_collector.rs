//! Parsing of the token lines that an engine streams.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
enum Line {
    Token { token: u64, text: String },
    End { end: EndLine },
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct EndLine {
    tokens: u64,
}

/// A generated token with its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenText {
    /// Position of the token, from 0.
    pub token: u64,
    /// Text of the token.
    pub text: String,
}

/// Effect of one line.
enum LineEffect {
    NewToken(TokenText),
    Nothing,
    Invalid,
}

/// Full text of a finished stream.
#[derive(Debug, Serialize)]
struct FullText<'a> {
    text: &'a str,
    tokens: u64,
}

/// Collects the tokens of a stream across attempts.
///
/// Repeated tokens are dropped, and a gap is an error, so that a stream resumed on another engine
/// has no duplicate or missing text.
#[derive(Debug, Default)]
pub struct TokenCollector {
    partial_line: Vec<u8>,
    text: String,
    next_token: u64,
    ended_tokens: Option<u64>,
}

impl TokenCollector {
    /// Parses more bytes of the stream and returns the new tokens; `None` if a line is invalid.
    pub fn push(&mut self, data: &[u8]) -> Option<Vec<TokenText>> {
        self.partial_line.extend_from_slice(data);
        let mut tokens = Vec::new();
        while let Some(end) = self.partial_line.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.partial_line.drain(..=end).collect();
            match self.push_line(&line) {
                LineEffect::NewToken(token) => tokens.push(token),
                LineEffect::Nothing => {}
                LineEffect::Invalid => return None,
            }
        }
        Some(tokens)
    }

    /// Position of the next expected token.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Discards an incomplete line before another attempt resumes the stream.
    pub fn discard_partial_line(&mut self) {
        self.partial_line.clear();
    }

    /// The full text as JSON, if the stream has ended and every token was received.
    #[must_use]
    pub fn full_text(&self) -> Option<Bytes> {
        if self.ended_tokens != Some(self.next_token) {
            return None;
        }
        let full_text = FullText {
            text: &self.text,
            tokens: self.next_token,
        };
        serde_json::to_vec(&full_text).ok().map(Bytes::from)
    }

    fn push_line(&mut self, line: &[u8]) -> LineEffect {
        match serde_json::from_slice(line) {
            Ok(Line::End { end }) => {
                self.ended_tokens = Some(end.tokens);
                LineEffect::Nothing
            }
            Ok(Line::Token { token, .. }) if token < self.next_token => LineEffect::Nothing,
            Ok(Line::Token { token, text }) if token == self.next_token => {
                self.next_token += 1;
                self.text.push_str(&text);
                LineEffect::NewToken(TokenText { token, text })
            }
            Ok(Line::Token { .. }) | Err(_) => LineEffect::Invalid,
        }
    }
}

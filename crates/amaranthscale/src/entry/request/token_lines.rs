//! Lines of generated tokens, as an engine streams them.

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

/// What one line brought.
enum Taken {
    New(TokenText),
    Nothing,
    Wrong,
}

/// Whole text of a finished stream.
#[derive(Debug, Serialize)]
struct WholeText<'a> {
    text: &'a str,
    tokens: u64,
}

/// Collects a stream of token lines, across attempts.
///
/// A token that comes twice is dropped and one that skips ahead ends the collection, so that a
/// stream resumed on another engine joins without doubled or missing text.
#[derive(Debug, Default)]
pub struct TokenLines {
    unread: Vec<u8>,
    text: String,
    next_token: u64,
    ended_tokens: Option<u64>,
}

impl TokenLines {
    /// Takes bytes of the stream and returns the tokens that are new; none if the lines are wrong.
    pub fn take(&mut self, data: &[u8]) -> Option<Vec<TokenText>> {
        self.unread.extend_from_slice(data);
        let mut tokens = Vec::new();
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unread.drain(..=end).collect();
            match self.take_line(&line) {
                Taken::New(token) => tokens.push(token),
                Taken::Nothing => {}
                Taken::Wrong => return None,
            }
        }
        Some(tokens)
    }

    /// Position of the next token wanted.
    #[must_use]
    pub const fn next_token(&self) -> u64 {
        self.next_token
    }

    /// Forgets a line that broke off, before another attempt resumes.
    pub fn resume(&mut self) {
        self.unread.clear();
    }

    /// The whole text as JSON, if the stream came to its end with every token.
    #[must_use]
    pub fn whole(&self) -> Option<Bytes> {
        if self.ended_tokens != Some(self.next_token) {
            return None;
        }
        let whole = WholeText {
            text: &self.text,
            tokens: self.next_token,
        };
        serde_json::to_vec(&whole).ok().map(Bytes::from)
    }

    fn take_line(&mut self, line: &[u8]) -> Taken {
        match serde_json::from_slice(line) {
            Ok(Line::End { end }) => {
                self.ended_tokens = Some(end.tokens);
                Taken::Nothing
            }
            Ok(Line::Token { token, .. }) if token < self.next_token => Taken::Nothing,
            Ok(Line::Token { token, text }) if token == self.next_token => {
                self.next_token += 1;
                self.text.push_str(&text);
                Taken::New(TokenText { token, text })
            }
            Ok(Line::Token { .. }) | Err(_) => Taken::Wrong,
        }
    }
}

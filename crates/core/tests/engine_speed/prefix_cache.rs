//! The KV cache of a simulated engine.

use std::collections::VecDeque;

/// Tokens that an engine holds.
const CAPACITY_TOKENS: u64 = 458_520;

/// Parts of prompts; the least recently used ones are evicted for new ones.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Subjects of shared parts, none for own parts of prompts, with their tokens; the least
    /// recently used first.
    parts: VecDeque<(Option<u32>, u64)>,
    tokens: u64,
}

impl PrefixCache {
    /// Whether the shared part of a subject is held.
    pub fn contains(&self, subject: u32) -> bool {
        self.parts.iter().any(|(held, _)| *held == Some(subject))
    }

    /// Adds a prompt, or marks its shared part as just used.
    pub fn insert(&mut self, subject: Option<u32>, shared_tokens: u64, own_tokens: u64) {
        if let Some(subject) = subject {
            let mut held = self.parts.iter();
            if let Some(index) = held.position(|(held, _)| *held == Some(subject)) {
                let _ = self.parts.remove(index);
                self.tokens -= shared_tokens;
            }
            self.push(Some(subject), shared_tokens);
        }
        self.push(None, own_tokens);
    }

    fn push(&mut self, subject: Option<u32>, tokens: u64) {
        self.parts.push_back((subject, tokens));
        self.tokens += tokens;
        while self.tokens > CAPACITY_TOKENS
            && let Some((_, evicted)) = self.parts.pop_front()
        {
            self.tokens -= evicted;
        }
    }
}

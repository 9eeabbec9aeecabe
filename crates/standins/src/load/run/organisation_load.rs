//! What one organisation asks for.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use amaranthscale_core::unit::Class;

/// Characters of one repetition of a prompt's prefix.
const PREFIX_WORD: &str = "case file ";

/// What kind of calls an organisation makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Asks a pipeline; may be repeated.
    Ask,
    /// Makes calls that may not be repeated, each under a key of its own.
    Settle,
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ask => "ask",
            Self::Settle => "settle",
        })
    }
}

impl FromStr for CallKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "ask" => Ok(Self::Ask),
            "settle" => Ok(Self::Settle),
            other => Err(format!("{other:?} is no kind of call: use ask or settle")),
        }
    }
}

/// What one organisation asks for, and how often.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationLoad {
    /// Organisation that asks.
    pub organisation: String,
    /// Class of that organisation, by which answers are summed.
    pub class: Class,
    /// Bearer key of the organisation.
    pub key: String,
    /// Kind of its calls.
    pub kind: CallKind,
    /// Path of the pipeline or service at the entry.
    pub path: String,
    /// Mean rate outside bursts.
    pub rate_per_s: f64,
    /// Time from arrival within which a complete answer counts.
    pub deadline: Duration,
    /// Tokens that each answer has.
    pub max_tokens: u32,
    /// Different prefixes of its prompts.
    pub prefixes: u32,
    /// Length of each prefix.
    pub prefix_bytes: usize,
    /// Time from the start of one burst to the start of the next; none without bursts.
    pub burst_every: Option<Duration>,
    /// Length of a burst.
    pub burst: Duration,
    /// Multiple of the mean rate within a burst.
    pub burst_factor: f64,
}

impl OrganisationLoad {
    /// The rate at a time after the start.
    #[must_use]
    pub fn rate_at(&self, at: Duration) -> f64 {
        let in_burst = self.burst_every.is_some_and(|every| {
            let into = at.as_secs_f64() % every.as_secs_f64();
            into < self.burst.as_secs_f64()
        });
        if in_burst {
            self.rate_per_s * self.burst_factor
        } else {
            self.rate_per_s
        }
    }

    /// The highest rate at any time.
    #[must_use]
    pub fn highest_rate_per_s(&self) -> f64 {
        match self.burst_every {
            Some(_) => self.rate_per_s * self.burst_factor.max(1.0),
            None => self.rate_per_s,
        }
    }

    /// One of the prefixes, at its length.
    #[must_use]
    pub fn prefix(&self, number: u32) -> String {
        let mut prefix = format!("{}-{number} ", self.organisation);
        while prefix.len() < self.prefix_bytes {
            prefix.push_str(PREFIX_WORD);
        }
        prefix
    }
}

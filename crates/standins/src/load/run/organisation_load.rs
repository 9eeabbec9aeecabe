//! Load of one organisation.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use amaranthscale_core::unit::Class;

/// Text that is repeated to fill a prompt's prefix.
const PREFIX_WORD: &str = "case file ";

/// Kind of an organisation's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Requests to a pipeline, which may be repeated.
    Ask,
    /// Calls that must not be repeated, each with its own idempotency key.
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

/// Kind, rate and size of one organisation's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationLoad {
    /// Organisation that sends the requests.
    pub organisation: String,
    /// Class of that organisation; the report groups answers by it.
    pub class: Class,
    /// Bearer key of the organisation.
    pub key: String,
    /// Kind of its calls.
    pub kind: CallKind,
    /// Path of the pipeline or service on the entry.
    pub path: String,
    /// Mean rate outside bursts.
    pub rate_per_s: f64,
    /// Time from arrival within which a complete answer counts.
    pub deadline: Duration,
    /// Number of tokens of each answer.
    pub max_tokens: u32,
    /// Number of different prompt prefixes.
    pub prefixes: u32,
    /// Minimum length of each prefix.
    pub prefix_bytes: usize,
    /// Time from the start of one burst to the start of the next; `None` without bursts.
    pub burst_every: Option<Duration>,
    /// Duration of a burst.
    pub burst: Duration,
    /// Factor of the mean rate within a burst.
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

    /// The maximum rate at any time.
    #[must_use]
    pub fn max_rate_per_s(&self) -> f64 {
        match self.burst_every {
            Some(_) => self.rate_per_s * self.burst_factor.max(1.0),
            None => self.rate_per_s,
        }
    }

    /// The prefix with this number, filled up to its length.
    #[must_use]
    pub fn prefix(&self, number: u32) -> String {
        let mut prefix = format!("{}-{number} ", self.organisation);
        while prefix.len() < self.prefix_bytes {
            prefix.push_str(PREFIX_WORD);
        }
        prefix
    }
}

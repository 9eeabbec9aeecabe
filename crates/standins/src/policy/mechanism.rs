//! A mechanism of the policy that a run can disable.

use std::fmt;

/// A mechanism that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Choice of the less loaded of two hosts; without it, of any host.
    TwoChoices,
    /// Ejection of slow and failing hosts.
    Ejection,
    /// Refusal on arrival of requests that cannot be answered in time.
    Admission,
    /// Priority of paid over trial, reserve and fair shares; without it, first come, first served.
    Classes,
    /// Bounded queues that drop work that would be late.
    Expiry,
    /// A limit on retries; without it, unlimited retries, also after a plain timeout.
    RetryBudget,
    /// A second attempt in parallel with a slow one.
    Hedges,
    /// Limits of organisations.
    Limits,
    /// Cancellation of work whose result is no longer needed.
    Cancel,
}

impl Mechanism {
    /// Every mechanism.
    pub const ALL: [Self; 9] = [
        Self::TwoChoices,
        Self::Ejection,
        Self::Admission,
        Self::Classes,
        Self::Expiry,
        Self::RetryBudget,
        Self::Hedges,
        Self::Limits,
        Self::Cancel,
    ];

    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::TwoChoices => "two-choices",
            Self::Ejection => "ejection",
            Self::Admission => "admission",
            Self::Classes => "classes",
            Self::Expiry => "expiry",
            Self::RetryBudget => "retry-budget",
            Self::Hedges => "hedges",
            Self::Limits => "limits",
            Self::Cancel => "cancel",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

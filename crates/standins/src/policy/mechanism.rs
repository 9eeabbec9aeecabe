//! One mechanism of the policy, which a run can do without.

use std::fmt;

/// A mechanism that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// The less loaded of two hosts; without: any host.
    TwoChoices,
    /// Ejection of stragglers and failing hosts.
    Ejection,
    /// Refusal on arrival of what cannot be answered in time.
    Admission,
    /// Paid before trial, reserve and fair shares; without: first come, first served.
    Classes,
    /// Bounded queues that drop what would be late.
    Expiry,
    /// A bound on retries; without: retries at will, also after a plain timeout.
    RetryBudget,
    /// A second attempt beside a slow one.
    Hedges,
    /// Limits of organisations.
    Limits,
    /// Cancelling what nobody waits for.
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

//! Limits retries to a fraction of first attempts.
//!
//! Without a limit, a burst of refusals turns every request into several, and the system stays
//! overloaded by its own retries after the cause is gone. A budget in proportion to first attempts
//! keeps that extra load at a few percent, whatever fails.

/// Hundredths per retry.
const CENTS: u64 = 100;
/// Retries that can accumulate: enough to get past one lost server, too few for a retry storm.
const MAX_SAVED_RETRIES: u64 = 10;

/// Retries, or hedges, that first attempts have earned.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::RetryBudget;
///
/// let mut budget = RetryBudget::new(10);
/// while budget.try_retry() {}
/// for _ in 0..10 {
///     budget.first_try();
/// }
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    saved_cents: u64,
}

impl RetryBudget {
    /// A budget with the given number of retries per hundred first attempts.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        let saved_cents = if percent == 0 {
            0
        } else {
            MAX_SAVED_RETRIES * CENTS
        };
        Self {
            percent,
            saved_cents,
        }
    }

    /// Counts a first attempt, which earns its fraction of a retry.
    pub fn first_try(&mut self) {
        let earned = self.saved_cents + u64::from(self.percent);
        self.saved_cents = earned.min(MAX_SAVED_RETRIES * CENTS);
    }

    /// Takes one retry; false if none is left.
    pub const fn try_retry(&mut self) -> bool {
        if self.saved_cents < CENTS {
            return false;
        }
        self.saved_cents -= CENTS;
        true
    }
}

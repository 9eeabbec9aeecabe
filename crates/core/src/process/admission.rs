//! Refuses requests at once that cannot be answered in time.
//!
//! Work that starts and then misses its deadline takes slots from work that would have met its own.
//! So an entry refuses a request on arrival if its budget is below the time that the remaining
//! stages currently take, and tells the caller when to retry. The retry delay grows with the recent
//! refusal rate and has jitter, so that a refused burst does not return as a burst.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{AdmissionSettings, Refusal, StageEstimate};
use crate::ResultCode;
use crate::unit::{Class, TimeBudget};

/// Number of decisions over which the refused share is smoothed, large enough to tell a burst from
/// a few refusals.
const SMOOTHING_DECISIONS: f64 = 64.0;
/// Largest increase of the retry delay, as a factor, when all recent requests were refused.
const MAX_PRESSURE: f64 = 8.0;
/// One hundred percent.
const PERCENT: u64 = 100;

/// Admits or refuses requests at an entry.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use amaranthscale_core::ResultCode;
/// use amaranthscale_core::process::{Admission, StageEstimate};
/// use amaranthscale_core::unit::{TimeBudget, Class};
///
/// let mut admission = Admission::new(7);
/// let busy = [StageEstimate { queue_ms: 900, service_ms: 300 }];
/// let refusal = admission
///     .decide(TimeBudget::from_millis(1_000), &busy, Class::Paid, Duration::ZERO)
///     .unwrap_err();
/// assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    random: SmallRng,
    refused_share: f64,
}

impl Admission {
    /// Admits with the default settings.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            settings: AdmissionSettings::default(),
            random: SmallRng::seed_from_u64(seed),
            refused_share: 0.0,
        }
    }

    /// Replaces the settings.
    #[must_use]
    pub const fn with_settings(mut self, settings: AdmissionSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Admits a request, or refuses it at once.
    pub fn decide(
        &mut self,
        budget: TimeBudget,
        remaining: &[StageEstimate],
        class: Class,
        _now: Duration,
    ) -> Result<(), Refusal> {
        let total_ms: u64 = remaining.iter().map(|stage| stage.total_ms()).sum();
        let needed_ms = total_ms * self.margin_percent(class) / PERCENT;
        let is_refused = TimeBudget::from_millis(needed_ms) > budget || budget.is_exhausted();
        self.record_decision(is_refused);
        if is_refused {
            Err(self.refusal(remaining))
        } else {
            Ok(())
        }
    }

    /// Budget of one stage, so that the later stages still fit.
    ///
    /// With the whole budget, a sidecar would start work whose answer comes too late for the stages
    /// after it. So the stage's expiry leaves the later stages their time at the backend servers.
    #[must_use]
    pub fn stage_budget(budget: TimeBudget, later: &[StageEstimate]) -> TimeBudget {
        let later_ms = later.iter().map(|stage| stage.service_ms).sum();
        budget.after(Duration::from_millis(later_ms))
    }

    const fn margin_percent(&self, class: Class) -> u64 {
        match class {
            Class::Paid => self.settings.paid_margin_percent,
            Class::Trial => self.settings.trial_margin_percent,
        }
    }

    fn record_decision(&mut self, is_refused: bool) {
        let sample = if is_refused { 1.0 } else { 0.0 };
        self.refused_share += (sample - self.refused_share) / SMOOTHING_DECISIONS;
    }

    fn refusal(&mut self, remaining: &[StageEstimate]) -> Refusal {
        let queue_ms: u64 = remaining.iter().map(|stage| stage.queue_ms).sum();
        let base = Duration::from_millis(queue_ms.max(self.settings.min_retry_after_ms));
        let scaled = base.mul_f64(1.0 + MAX_PRESSURE * self.refused_share);
        let capped = scaled.min(Duration::from_millis(self.settings.max_retry_after_ms));
        let jittered = capped.mul_f64(self.random.random_range(0.5..1.5));
        let retry_after_ms = u64::try_from(jittered.as_millis()).unwrap_or(u64::MAX);
        Refusal::new(ResultCode::DeadlineUnreachable, retry_after_ms)
    }
}

//! Estimates the time to an engine's first event from the size of the prompt.
//!
//! An engine reads the prompt before its first event, so a large prompt needs its pieces earlier.
//! Engines do not report the time per token, and it differs by service and load, so it is learnt
//! from the answers: a least-squares line through recent samples with exponentially decaying
//! weights.

use std::time::Duration;

use super::count::as_f64;

/// Factor by which a sample's weight decays with each later one: about the last two hundred count,
/// some seconds of an entry's load.
const DECAY: f64 = 0.995;
/// Total weight from which the line is used: below it, single answers would change it too much.
const MIN_WEIGHT: f64 = 20.0;

/// Time to the first event as a linear function of the prompt's tokens.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::FirstEventEstimator;
///
/// let mut times = FirstEventEstimator::default();
/// assert_eq!(times.expected(9_000), None);
/// for tokens in (1..40).map(|part| part * 1_000) {
///     times.record(tokens, Duration::from_millis(50 + tokens / 100));
/// }
/// let expected = times.expected(20_000).ok_or("nothing learnt")?;
/// assert!(expected.abs_diff(Duration::from_millis(250)) < Duration::from_millis(2));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstEventEstimator {
    weight: f64,
    tokens: f64,
    seconds: f64,
    tokens_squared: f64,
    tokens_seconds: f64,
}

impl FirstEventEstimator {
    /// Records the time of an answer from the send to its first event.
    pub fn record(&mut self, prompt_tokens: u64, time: Duration) {
        let (tokens, seconds) = (as_f64(prompt_tokens), time.as_secs_f64());
        let sums = [
            (&mut self.weight, 1.0),
            (&mut self.tokens, tokens),
            (&mut self.seconds, seconds),
            (&mut self.tokens_squared, tokens * tokens),
            (&mut self.tokens_seconds, tokens * seconds),
        ];
        for (sum, sample) in sums {
            *sum = *sum * DECAY + sample;
        }
    }

    /// Expected time for a prompt; none until enough samples are recorded.
    #[must_use]
    pub fn expected(&self, prompt_tokens: u64) -> Option<Duration> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let (mean_tokens, mean_seconds) = (self.tokens / self.weight, self.seconds / self.weight);
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
        // Prompts of equal size give no slope, and a larger prompt is never read faster.
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        let seconds = mean_seconds + slope * (as_f64(prompt_tokens) - mean_tokens);
        Duration::try_from_secs_f64(seconds.max(0.0)).ok()
    }
}

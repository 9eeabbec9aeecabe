//! How long engines take to the first event of an answer, by the size of its prompt.
//!
//! A prompt is read before its first event, so a large one needs its pieces earlier. What a token
//! takes is told by no engine and differs by service and load, so it is learnt from what came: a
//! line through the last answers, by least squares, with older ones fading out.

use std::time::Duration;

use super::count::as_f64;

/// Part of its weight that a sample keeps with each later one: about the last two hundred count, some
/// seconds of an entry's load.
const FADING: f64 = 0.995;
/// Weight of samples from which the line is used: below it, single answers would turn it.
const LEAST_WEIGHT: f64 = 20.0;

/// Times to the first event, as a line over the tokens of the prompt.
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
    /// Takes the time of an answer from the send to its first event.
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
            *sum = *sum * FADING + sample;
        }
    }

    /// Time that a prompt of so many tokens is likely to take; none before enough has come.
    #[must_use]
    pub fn expected(&self, prompt_tokens: u64) -> Option<Duration> {
        if self.weight < LEAST_WEIGHT {
            return None;
        }
        let (mean_tokens, mean_seconds) = (self.tokens / self.weight, self.seconds / self.weight);
        let spread = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let together = self.tokens_seconds / self.weight - mean_tokens * mean_seconds;
        // Prompts of one size tell nothing of others, and a larger one is never read faster.
        let slope = if spread > 1.0 {
            (together / spread).max(0.0)
        } else {
            0.0
        };
        let seconds = mean_seconds + slope * (as_f64(prompt_tokens) - mean_tokens);
        Duration::try_from_secs_f64(seconds.max(0.0)).ok()
    }
}

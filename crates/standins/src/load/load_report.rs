//! Attainment, refusals and latencies of a load.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use super::CallerAnswer;

/// Longest latency that is told apart.
const MAX_LATENCY_MS: u64 = 10 * 60 * 1000;
/// Answers kept to be shown.
const MAX_SAMPLES: usize = 3;

/// What all callers of a load got.
#[derive(Debug, Default)]
pub struct LoadReport {
    classes: BTreeMap<String, ClassReport>,
    codes: BTreeMap<u16, u64>,
    incorrect: u64,
    samples: Vec<CallerAnswer>,
}

#[derive(Debug)]
struct ClassReport {
    requests: u64,
    complete: u64,
    tries: u64,
    latency_ms: Histogram<u64>,
}

impl LoadReport {
    /// Takes one answer in.
    pub fn take(&mut self, answer: &CallerAnswer) {
        *self.codes.entry(answer.code).or_default() += 1;
        if answer.is_complete() && !answer.is_correct {
            self.incorrect += 1;
        }
        let class = self.classes.entry(answer.class.clone()).or_default();
        class.requests += 1;
        class.tries += u64::from(answer.tries);
        if answer.is_complete() {
            class.complete += 1;
            let latency_ms = u64::try_from(answer.elapsed.as_millis()).unwrap_or(MAX_LATENCY_MS);
            class.latency_ms.saturating_record(latency_ms);
        }
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(answer.clone());
        }
    }

    /// Some answers.
    #[must_use]
    pub fn samples(&self) -> &[CallerAnswer] {
        &self.samples
    }

    /// Whether every request got its own whole answer.
    #[must_use]
    pub fn is_all_correct(&self) -> bool {
        let is_complete = |class: &ClassReport| class.complete == class.requests;
        self.incorrect == 0 && self.classes.values().all(is_complete)
    }
}

impl Default for ClassReport {
    fn default() -> Self {
        // Reached only with bounds out of order: a bug.
        let latency_ms = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3).expect("valid bounds");
        Self {
            requests: 0,
            complete: 0,
            tries: 0,
            latency_ms,
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, report) in &self.classes {
            writeln!(
                f,
                "{class}: {} of {} requests complete, {} tries, p50 {} ms, p99 {} ms",
                report.complete,
                report.requests,
                report.tries,
                report.latency_ms.value_at_quantile(0.5),
                report.latency_ms.value_at_quantile(0.99),
            )?;
        }
        let codes = self
            .codes
            .iter()
            .map(|(code, count)| format!("{code} x {count}"));
        write!(
            f,
            "codes: {}; incorrect: {}",
            codes.collect::<Vec<_>>().join(", "),
            self.incorrect
        )
    }
}

//! Report of a load: attainment, refusals and latencies.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::CallerAnswer;

/// Maximum latency of the histograms; longer ones count as this.
const MAX_LATENCY_MS: u64 = 10 * 60 * 1000;
/// Maximum number of sample answers.
const MAX_SAMPLES: usize = 3;

/// Results of all requests of a load.
#[derive(Debug, Default)]
pub struct LoadReport {
    classes: BTreeMap<String, ClassReport>,
    organisations: BTreeMap<String, AttainmentCounts>,
    codes: BTreeMap<u16, u64>,
    retried_codes: BTreeMap<u16, u64>,
    incorrect: u64,
    samples: Vec<CallerAnswer>,
}

/// Number of requests, and of those answered completely within their deadline.
#[derive(Debug, Default)]
struct AttainmentCounts {
    requests: u64,
    attained: u64,
}

/// Attainment by class and organisation, and the result codes after which callers retried.
#[derive(Debug)]
pub struct LoadDetails<'a> {
    report: &'a LoadReport,
    duration: Duration,
}

#[derive(Debug)]
struct ClassReport {
    requests: u64,
    complete: u64,
    attained: u64,
    tries: u64,
    latency_ms: Histogram<u64>,
}

impl LoadReport {
    /// Records one answer.
    pub fn record(&mut self, answer: &CallerAnswer) {
        *self.codes.entry(answer.code).or_default() += 1;
        if answer.is_complete() && !answer.is_correct {
            self.incorrect += 1;
        }
        for code in &answer.retried_codes {
            *self.retried_codes.entry(*code).or_default() += 1;
        }
        let organisation = answer.organisation.clone();
        let attained = u64::from(answer.is_attained());
        let organisation = self.organisations.entry(organisation).or_default();
        organisation.requests += 1;
        organisation.attained += attained;
        let class = self.classes.entry(answer.class.clone()).or_default();
        class.requests += 1;
        class.attained += attained;
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

    /// Sample answers.
    #[must_use]
    pub fn samples(&self) -> &[CallerAnswer] {
        &self.samples
    }

    /// Attainment, goodput and retries of a load whose arrivals lasted `duration`.
    #[must_use]
    pub const fn details(&self, duration: Duration) -> LoadDetails<'_> {
        LoadDetails {
            report: self,
            duration,
        }
    }

    /// Whether every request received its own complete answer.
    #[must_use]
    pub fn is_all_correct(&self) -> bool {
        let is_complete = |class: &ClassReport| class.complete == class.requests;
        self.incorrect == 0 && self.classes.values().all(is_complete)
    }
}

impl Default for ClassReport {
    fn default() -> Self {
        // Fails only for bounds out of order, which would be a bug.
        let latency_ms = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3).expect("valid bounds");
        Self {
            requests: 0,
            complete: 0,
            attained: 0,
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

impl fmt::Display for LoadDetails<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, report) in &self.report.classes {
            let goodput = per_second(report.attained, self.duration);
            write!(f, "attainment of {class}: ")?;
            write_share(f, report.attained, report.requests)?;
            writeln!(f, ", goodput {goodput:.1} requests/s")?;
        }
        for (organisation, report) in &self.report.organisations {
            write!(f, "  {organisation:20} ")?;
            write_share(f, report.attained, report.requests)?;
            writeln!(f)?;
        }
        let retried_codes = self.report.retried_codes.iter();
        let retried_codes = retried_codes.map(|(code, count)| format!("{code} x {count}"));
        let retried_codes = retried_codes.collect::<Vec<_>>().join(", ");
        write!(f, "came back after: {retried_codes}")
    }
}

fn write_share(f: &mut fmt::Formatter<'_>, part: u64, whole: u64) -> fmt::Result {
    // Tenths of a percent, as an integer.
    let tenths = part * 1000 / whole.max(1);
    write!(
        f,
        "{part} of {whole} in time ({}.{}%)",
        tenths / 10,
        tenths % 10
    )
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a load stay far below the 2^52 that a float holds exactly"
)]
fn per_second(count: u64, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64().max(f64::EPSILON)
}

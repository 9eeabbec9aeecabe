//! How long things took, by name, for the metrics address.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Names that are kept: the parts of a request and two for each service; more would be a fault.
const MOST_NAMES: usize = 128;
/// Longest time that is told apart; deadlines are far below it.
const LONGEST_MS: u64 = 120_000;
/// Digits that are told apart: one hundredth is enough to see a shift, and takes some kilobytes.
const DIGITS: u8 = 2;
/// Parts of the times that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Histograms of times by name.
#[derive(Debug, Default)]
pub struct Latencies {
    by_name: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Latencies {
    /// Counts one time; a name beyond the bound is passed over.
    pub fn record(&self, name: &str, took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(LONGEST_MS);
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = by_name.get_mut(name) {
            histogram.saturating_record(took_ms);
            return;
        }
        if by_name.len() >= MOST_NAMES {
            return;
        }
        // The bounds above are valid ones, so a histogram always comes about.
        if let Ok(mut histogram) = Histogram::new_with_max(LONGEST_MS, DIGITS) {
            histogram.saturating_record(took_ms);
            by_name.insert(name.to_owned(), histogram);
        }
    }

    /// All histograms in the text form that scrapers read, in milliseconds.
    #[must_use]
    pub fn text(&self) -> String {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = by_name.iter().flat_map(|(name, histogram)| {
            let quantiles = QUANTILES.iter().map(move |quantile| {
                let ms = histogram.value_at_quantile(*quantile);
                format!("amaranth_latency_ms{{of=\"{name}\",quantile=\"{quantile}\"}} {ms}\n")
            });
            let count = histogram.len();
            let count = format!("amaranth_latency_ms_count{{of=\"{name}\"}} {count}\n");
            quantiles.chain([count])
        });
        lines.collect::<Vec<_>>().concat()
    }
}

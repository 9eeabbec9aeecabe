//! Latencies by name, for the metrics address.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Most names: the parts of a request and two for each service; more would be a fault.
const MAX_NAMES: usize = 128;
/// Longest latency that is distinguished; deadlines are far below it.
const MAX_LATENCY_MS: u64 = 120_000;
/// A resolution of one hundredth is enough to see a shift, and takes some kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Histograms of latencies by name.
#[derive(Debug, Default)]
pub struct Latencies {
    by_name: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Latencies {
    /// Records one latency; a new name beyond the bound is ignored.
    pub fn record(&self, name: &str, latency: Duration) {
        let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = by_name.get_mut(name) {
            histogram.saturating_record(latency_ms);
            return;
        }
        if by_name.len() >= MAX_NAMES {
            return;
        }
        // The constants above are valid bounds, so creating a histogram never fails.
        if let Ok(mut histogram) = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS) {
            histogram.saturating_record(latency_ms);
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

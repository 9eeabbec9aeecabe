//! A median with its range.

use serde::Serialize;

/// A median with its range.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Spread {
    /// Middle value; the upper of the two middle values of an even number.
    pub(super) median: f64,
    /// Smallest value.
    pub(super) least: f64,
    /// Largest value.
    pub(super) most: f64,
    /// Number of values.
    pub(super) n: usize,
}

impl Spread {
    /// The spread of some values; all zero without values.
    pub(super) fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or_default();
        Self {
            median: rounded(at(values.len() / 2)),
            least: rounded(at(0)),
            most: rounded(at(values.len().saturating_sub(1))),
            n: values.len(),
        }
    }
}

/// Converts a count to a float.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a sweep stay far below the 2^52 that a float holds exactly"
)]
pub(super) const fn float(count: u64) -> f64 {
    count as f64
}

/// Converts a count to a divisor, which is at least 1.
pub(super) fn divisor(count: usize) -> f64 {
    float(u64::try_from(count).unwrap_or(u64::MAX).max(1))
}

/// Rounds to three decimals, which exceeds the precision of all measurements.
fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

//! A median with its range.

use serde::Serialize;

/// A median with its range.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Spread {
    /// Middle value; the upper one of two.
    pub(super) median: f64,
    /// Smallest value.
    pub(super) least: f64,
    /// Largest value.
    pub(super) most: f64,
    /// Number of values.
    pub(super) n: usize,
}

impl Spread {
    /// The spread of some values; all zero without any.
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

/// A count as a number to reckon with.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a sweep stay far below the 2^52 that a float holds exactly"
)]
pub(super) const fn float(count: u64) -> f64 {
    count as f64
}

/// A number of things as a number to reckon with; never 0, as it divides.
pub(super) fn divisor(count: usize) -> f64 {
    float(u64::try_from(count).unwrap_or(u64::MAX).max(1))
}

/// Three decimals are more than any of the measurements can tell.
fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

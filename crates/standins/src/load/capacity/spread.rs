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

/// Three decimals are more than any of the measurements can tell.
fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

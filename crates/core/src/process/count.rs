//! Counts as numbers to reckon with.

/// A count as a floating-point number; the largest that has one exactly stands for all beyond it.
pub(crate) fn as_f64(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

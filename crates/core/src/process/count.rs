//! Conversion of counts for floating-point arithmetic.

/// A count as a floating-point number; counts above `u32::MAX` become `u32::MAX`.
pub(crate) fn as_f64(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}

//! How often all jobs are scanned.

use std::time::Duration;

/// Interval between two scans per job. A scan takes less than a microsecond per job, so scans take
/// a few hundredths of a core at most, however many jobs there are.
const INTERVAL_PER_JOB: Duration = Duration::from_micros(20);

/// Interval between two scans of all jobs.
///
/// Guards against an owner that spends all its processor time on scans: with some thousand jobs, it
/// would fall behind the ends of calls, and servers would be idle.
pub(super) fn scan_interval(min_interval: Duration, jobs: usize) -> Duration {
    min_interval.max(INTERVAL_PER_JOB.saturating_mul(u32::try_from(jobs).unwrap_or(u32::MAX)))
}

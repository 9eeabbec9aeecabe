//! How often all jobs are looked at.

use std::time::Duration;

/// Time between two looks for each open job. A look costs less than a microsecond a job, so that
/// looks take some hundredths of a core at most, however many jobs are open.
const PER_JOB: Duration = Duration::from_micros(20);

/// Time between two looks at all jobs.
///
/// Guards against an owner whose processor is used up by looking: at some thousand open jobs, it
/// would fall behind the servers' ends of calls, and servers would stand idle.
pub(super) fn paced(least: Duration, jobs: usize) -> Duration {
    least.max(PER_JOB.saturating_mul(u32::try_from(jobs).unwrap_or(u32::MAX)))
}

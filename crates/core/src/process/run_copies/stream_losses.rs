//! Share of a service's streams that broke recently, by this entry's own streams.

use std::collections::VecDeque;
use std::time::Duration;

use super::super::count::as_f64;

/// Time for which a stream's end counts.
const WINDOW: Duration = Duration::from_secs(10);

/// Ends of one second.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    second: u64,
    ended: u32,
    broken: u32,
    engine_time: Duration,
}

/// Ends of the streams of one service within the last ten seconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use amaranthscale_core::process::StreamLosses;
///
/// let mut losses = StreamLosses::default();
/// let now = Duration::from_secs(30);
/// losses.record(Duration::from_secs(2), false, now);
/// losses.record(Duration::from_secs(1), true, now);
/// assert!((losses.broken_share(now) - 0.5).abs() < 1e-9);
/// ```
#[derive(Debug, Clone, Default)]
pub struct StreamLosses {
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl StreamLosses {
    /// Records the end of a stream and its time at the engine.
    pub fn record(&mut self, engine_time: Duration, is_broken: bool, now: Duration) {
        let oldest = now.saturating_sub(WINDOW).as_secs();
        while self
            .buckets
            .front()
            .is_some_and(|first| first.second < oldest)
        {
            self.buckets.pop_front();
        }
        let second = now.as_secs();
        if self.buckets.back().is_none_or(|last| last.second < second) {
            self.buckets.push_back(Bucket {
                second,
                ended: 0,
                broken: 0,
                engine_time: Duration::ZERO,
            });
        }
        if let Some(last) = self.buckets.back_mut() {
            last.ended += 1;
            last.broken += u32::from(is_broken);
            last.engine_time += engine_time;
        }
    }

    /// Share of the streams that broke; 0 if none has ended.
    #[must_use]
    pub fn broken_share(&self, now: Duration) -> f64 {
        let recent = self.recent(now);
        let (ended, broken) = recent.fold((0, 0), |(ended, broken), bucket| {
            (ended + bucket.ended, broken + bucket.broken)
        });
        as_f64(broken) / as_f64(ended.max(1))
    }

    /// Mean time of a stream at its engine.
    #[must_use]
    pub fn mean_engine_time(&self, now: Duration) -> Duration {
        let recent = self.recent(now);
        let (ended, total) = recent.fold((0, Duration::ZERO), |(ended, total), bucket| {
            (ended + bucket.ended, total + bucket.engine_time)
        });
        total / ended.max(1)
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = &Bucket> {
        let oldest = now.saturating_sub(WINDOW).as_secs();
        self.buckets
            .iter()
            .filter(move |bucket| bucket.second >= oldest)
    }
}

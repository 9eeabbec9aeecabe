//! Limits the rate of log lines of one kind.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of lines of one kind in a window: enough for diagnosis, few compared with a busy
/// gateway's other lines.
const MAX_LINES: u32 = 20;
/// Length of the window.
const WINDOW: Duration = Duration::from_secs(10);

/// Limits the rate of log lines of one kind.
///
/// A table may change at hundreds of rows a second, as when a large deployment starts or another
/// writer fills it, and logging takes CPU time from requests. Suppressed lines are counted, and the
/// next line contains their number.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    window_started: Instant,
    lines: u32,
    suppressed: u64,
}

impl LogLimiter {
    pub(crate) fn new() -> Self {
        Self {
            window_started: Instant::now(),
            lines: 0,
            suppressed: 0,
        }
    }

    /// Allows one line and returns the number suppressed before it; `None` if it is suppressed as
    /// well.
    pub(crate) fn allow(&mut self) -> Option<u64> {
        if self.window_started.elapsed() >= WINDOW {
            self.window_started = Instant::now();
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

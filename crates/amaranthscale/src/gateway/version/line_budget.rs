//! How many lines of one kind are written.

use std::time::Duration;

use tokio::time::Instant;

/// Lines of one kind in a span: enough to see what goes on, few beside a busy gateway's others.
const MOST_LINES: u32 = 20;
/// The span.
const SPAN: Duration = Duration::from_secs(10);

/// Lines of one kind that may still be written.
///
/// Guards against a table that changes at hundreds of rows a second, as when a large deployment
/// starts or another writer fills it: lines take the time that requests need. What is left out is
/// counted, and the next line says how much it was.
#[derive(Debug)]
pub(super) struct LineBudget {
    span_began: Instant,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    pub(super) fn new() -> Self {
        Self {
            span_began: Instant::now(),
            lines: 0,
            left_out: 0,
        }
    }

    /// Takes one line: how many were left out before it, or none if it is left out as well.
    pub(super) fn take(&mut self) -> Option<u64> {
        if self.span_began.elapsed() >= SPAN {
            self.span_began = Instant::now();
            self.lines = 0;
        }
        if self.lines >= MOST_LINES {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

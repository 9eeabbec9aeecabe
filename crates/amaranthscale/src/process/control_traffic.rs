//! Counts control messages and their bytes, by kind.

use std::sync::Arc;

use super::{ControlKind, Counters};

/// Counts control messages and their bytes, by kind; without counters it counts nothing.
///
/// Bytes are those of paths and bodies, without headers and framing.
#[derive(Debug, Clone, Default)]
pub struct ControlTraffic {
    counters: Option<Arc<Counters>>,
}

impl ControlTraffic {
    /// Counts into the counters of a process.
    #[must_use]
    pub const fn new(counters: Arc<Counters>) -> Self {
        Self {
            counters: Some(counters),
        }
    }

    /// Counts one request that this process sent or answered.
    pub fn count_message(&self, kind: ControlKind) {
        self.add(kind.counter_names().messages, 1);
    }

    /// Counts bytes that this process sent.
    pub fn count_sent(&self, kind: ControlKind, length_bytes: usize) {
        self.add(kind.counter_names().bytes_out, length_bytes);
    }

    /// Counts bytes that this process received.
    pub fn count_received(&self, kind: ControlKind, length_bytes: usize) {
        self.add(kind.counter_names().bytes_in, length_bytes);
    }

    fn add(&self, name: &'static str, amount: usize) {
        if let Some(counters) = &self.counters {
            counters.add(name, u64::try_from(amount).unwrap_or(u64::MAX));
        }
    }
}

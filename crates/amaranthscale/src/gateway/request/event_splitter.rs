//! Splits a byte stream into complete server-sent events.
//!
//! A server may stop in the middle of an event. Only complete events are forwarded, so that a
//! stream which continues at another server contains no partial event.

use bytes::{Bytes, BytesMut};

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes, including the blank line at its end.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Splits received bytes into events.
///
/// # Examples
///
/// ```
/// use amaranthscale::gateway::request::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().id, Some(1));
/// assert!(splitter.next_event().is_none());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Number of received bytes that belong to no complete event yet.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The remaining bytes, which no blank line ends.
    #[must_use]
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let bytes = &self.buffer[..];
        for start in from..bytes.len() {
            let rest = &bytes[start..];
            if rest.starts_with(b"\n\n") {
                return Some(start + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(start + 4);
            }
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = std::str::from_utf8(values.next()?).ok()?;
    value.trim().parse().ok()
}

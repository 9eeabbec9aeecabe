//! Counts the tokens of a stream as its lines pass by.

/// Start of a stream's last line, by which an engine says that all tokens have come.
const END_LINE: &[u8] = br#"{"end":"#;

/// Counts the lines of a stream, less the end line, without keeping the stream.
#[derive(Debug, Default)]
pub(super) struct TokenCount {
    lines: u64,
    /// Start of the last line, as far as it is needed to tell an end line.
    head: Vec<u8>,
    is_line_open: bool,
}

impl TokenCount {
    /// Takes the next bytes of the stream; lines may be split anywhere.
    pub(super) fn take(&mut self, data: &[u8]) {
        for part in data.split_inclusive(|byte| *byte == b'\n') {
            if !self.is_line_open {
                self.head.clear();
            }
            let wanted = END_LINE.len().saturating_sub(self.head.len());
            self.head.extend(part.iter().take(wanted));
            self.is_line_open = !part.ends_with(b"\n");
            self.lines += u64::from(!self.is_line_open);
        }
    }

    /// Tokens that have passed.
    pub(super) fn tokens(&self) -> u64 {
        let is_ended = !self.is_line_open && self.head == END_LINE;
        self.lines.saturating_sub(u64::from(is_ended))
    }
}

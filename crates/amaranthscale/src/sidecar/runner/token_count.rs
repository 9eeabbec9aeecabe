//! Counts the tokens of a stream.

/// Start of the end line, which an engine sends after the last token.
const END_LINE: &[u8] = br#"{"end":"#;

/// Counts the lines of a stream except the end line, without buffering the stream.
#[derive(Debug, Default)]
pub(super) struct TokenCount {
    lines: u64,
    /// Start of the last line, long enough to recognise an end line.
    head: Vec<u8>,
    is_line_open: bool,
}

impl TokenCount {
    /// Counts the next bytes of the stream, which may split lines anywhere.
    pub(super) fn take(&mut self, data: &[u8]) {
        for part in data.split_inclusive(|byte| *byte == b'\n') {
            if !self.is_line_open {
                self.head.clear();
            }
            let missing = END_LINE.len().saturating_sub(self.head.len());
            self.head.extend(part.iter().take(missing));
            self.is_line_open = !part.ends_with(b"\n");
            self.lines += u64::from(!self.is_line_open);
        }
    }

    /// Whether the last line is a whole end line.
    pub(super) fn is_ended(&self) -> bool {
        !self.is_line_open && self.head == END_LINE
    }

    /// Tokens counted so far.
    pub(super) fn tokens(&self) -> u64 {
        self.lines.saturating_sub(u64::from(self.is_ended()))
    }
}

//! Percent encoding of keys in paths and queries.

/// Length of an escape: the percent sign and two digits.
const ESCAPE_BYTES: usize = 3;
/// Radix of the two digits of an escape.
const ESCAPE_RADIX: u32 = 16;

/// Escapes all characters except the unreserved ones.
#[must_use]
pub fn percent_encode(text: impl AsRef<str>) -> String {
    let bytes = text.as_ref().bytes();
    bytes.map(escape).collect()
}

/// Reverses [`percent_encode`]; `None` for an invalid escape or text that is not UTF-8.
#[must_use]
pub fn percent_decode(text: impl AsRef<str>) -> Option<String> {
    let mut rest = text.as_ref().as_bytes();
    let mut decoded = Vec::with_capacity(rest.len());
    while let Some(&first) = rest.first() {
        if first == b'%' {
            decoded.push(unescape(rest.get(1..ESCAPE_BYTES)?)?);
            rest = &rest[ESCAPE_BYTES..];
        } else {
            decoded.push(first);
            rest = &rest[1..];
        }
    }
    String::from_utf8(decoded).ok()
}

fn escape(byte: u8) -> String {
    match byte {
        b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    }
}

fn unescape(digits: &[u8]) -> Option<u8> {
    let digits = str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, ESCAPE_RADIX).ok()
}

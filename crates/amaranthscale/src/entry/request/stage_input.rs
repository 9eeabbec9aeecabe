//! Input of a stage: the caller's body and the previous stage's result.

use bytes::{BufMut, Bytes, BytesMut};

/// Builds the body for a stage from the caller's body and the previous stage's result.
///
/// Both are JSON, so they are joined as bytes: large bodies are not parsed and serialised again at
/// every stage.
#[must_use]
pub fn stage_input(request: &Bytes, previous: Option<&Bytes>) -> Bytes {
    const REQUEST: &[u8] = br#"{"request":"#;
    const PREVIOUS: &[u8] = br#","previous":"#;

    let previous = previous.map_or(&b"null"[..], |result| &result[..]);
    let length = REQUEST.len() + request.len() + PREVIOUS.len() + previous.len() + 1;
    let mut input = BytesMut::with_capacity(length);
    input.put_slice(REQUEST);
    input.put_slice(request);
    input.put_slice(PREVIOUS);
    input.put_slice(previous);
    input.put_u8(b'}');
    input.freeze()
}

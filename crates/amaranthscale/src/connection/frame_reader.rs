//! Frames of an attempt's answer, each prefixed with its length.

use amaranthscale_core::wire::{self, Frame};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest accepted frame. A stage's result may come in one chunk, so this bounds the result.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

quick_error! {
    /// An answer that cannot be read to its end.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection broke or timed out.
        Broken(cause: hyper::Error) {
            display("the connection broke: {cause}")
            source(cause)
            from()
        }
        /// The bytes are not a valid frame.
        Malformed(reason: String) {
            display("the frame cannot be read: {reason}")
        }
        /// The answer stopped before its end.
        Truncated {
            display("the answer stopped before its end")
        }
    }
}

/// Encodes a frame, prefixed with its length.
///
/// # Panics
///
/// Only if a frame is longer than the longest accepted one, which the body limits prevent.
#[must_use]
pub fn encode_frame(frame: &Frame) -> Bytes {
    let mut encoded = BytesMut::new();
    codec()
        .encode(Bytes::from(wire::encode(frame)), &mut encoded)
        .expect("results are bounded below the longest frame");
    encoded.freeze()
}

/// Reads the frames of one answer.
#[derive(Debug)]
pub struct FrameReader {
    body: Incoming,
    received: BytesMut,
    codec: LengthDelimitedCodec,
}

impl FrameReader {
    /// Reads frames from a response's body.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            received: BytesMut::new(),
            codec: codec(),
        }
    }

    /// Reads the next frame; an answer that stops before its end is an error.
    pub async fn next(&mut self) -> Result<Frame, FrameError> {
        loop {
            let decoded = self.codec.decode(&mut self.received);
            if let Some(frame) = decoded.map_err(malformed)? {
                return wire::decode(frame).map_err(malformed);
            }
            self.receive().await?;
        }
    }

    async fn receive(&mut self) -> Result<(), FrameError> {
        let Some(part) = self.body.frame().await else {
            return Err(FrameError::Truncated);
        };
        if let Ok(data) = part?.into_data() {
            self.received.extend_from_slice(&data);
        }
        Ok(())
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn malformed(error: impl std::fmt::Display) -> FrameError {
    FrameError::Malformed(error.to_string())
}

//! Encoding of the messages between entries and sidecars.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

quick_error! {
    /// Error for bytes that are not a message of the expected type.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The bytes cannot be decoded.
        Malformed(cause: rmp_serde::decode::Error) {
            display("the message cannot be read: {cause}")
            source(cause)
            from()
        }
    }
}

/// Encodes a message with field names, so that processes of different versions can communicate.
///
/// # Panics
///
/// If the type cannot be encoded as `MessagePack`, which is a bug.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("all message types can be encoded")
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes.as_ref())?)
}

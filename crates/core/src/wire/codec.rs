//! Encoding of the messages between our processes.

use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

quick_error! {
    /// Bytes that hold no message of the wanted type.
    #[derive(Debug)]
    pub enum DecodeError {
        /// The codec refused them.
        Malformed(cause: rmp_serde::decode::Error) {
            display("the message cannot be read: {cause}")
            source(cause)
            from()
        }
    }
}

/// Encodes a message; fields carry their names so that versions of the program can differ.
///
/// # Panics
///
/// Only if a message type holds something that `MessagePack` cannot carry, which is a bug.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("message types hold only what the codec can carry")
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes.as_ref())?)
}

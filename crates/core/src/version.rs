//! What lives for a version of shared configuration.

mod conditional_write;

#[doc(inline)]
pub use conditional_write::{ConditionalWrite, Envelope, EnvelopeError, WriteEvent, WriteStep};

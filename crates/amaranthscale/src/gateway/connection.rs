//! State with the life span of a connection: reusable connections to backend servers.

mod connection_pool;

#[doc(inline)]
pub use connection_pool::{ConnectionPool, ServerAnswer, ServerConnection};

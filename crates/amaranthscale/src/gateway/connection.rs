//! What lives as long as a connection: kept connections to backend servers.

mod connection_pool;

#[doc(inline)]
pub use connection_pool::{ConnectionPool, ServerConnection};

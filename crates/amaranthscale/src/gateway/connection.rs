//! What lives as long as a connection: kept connections to backend servers.

mod server_pool;

#[doc(inline)]
pub use server_pool::{ServerConnection, ServerPool};

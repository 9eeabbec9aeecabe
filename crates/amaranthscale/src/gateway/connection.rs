//! State with the life span of a connection: reusable connections to backend servers.

mod calls_in_flight;
mod connection_pool;

#[doc(inline)]
pub use calls_in_flight::{CallInFlight, CallsInFlight};
#[doc(inline)]
pub use connection_pool::{ConnectionPool, ServerAnswer, ServerConnection};

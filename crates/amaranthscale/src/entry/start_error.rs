//! Errors that prevent an entry from starting.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::process::CountersError;

quick_error! {
    /// Error that prevents an entry from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be bound.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}; choose a free address")
            source(cause)
        }
        /// The statsd client cannot be created.
        Metrics(cause: CountersError) {
            display("{cause}; check [metrics] statsd")
            source(cause)
            from()
        }
        /// An actor failed to start.
        Actor(cause: ractor::SpawnErr) {
            display("an actor failed to start: {cause}")
            source(cause)
            from()
        }
    }
}

//! Why an entry did not start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::process::CountersError;

quick_error! {
    /// An entry that could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address cannot be listened at.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen at {address}: {cause}; choose a free address")
            source(cause)
        }
        /// Counters cannot be sent.
        Metrics(cause: CountersError) {
            display("{cause}; check [metrics] statsd")
            source(cause)
            from()
        }
        /// An actor did not start.
        Actor(cause: ractor::SpawnErr) {
            display("an actor did not start: {cause}")
            source(cause)
            from()
        }
    }
}

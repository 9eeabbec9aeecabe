//! Errors that prevent a sidecar from starting.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::process::CountersError;

quick_error! {
    /// Error that prevents a sidecar from starting.
    #[derive(Debug)]
    pub enum SidecarError {
        /// The address cannot be bound.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}")
            source(cause)
        }
        /// The statsd client cannot be created.
        Metrics(cause: CountersError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The scheduler failed to start.
        Scheduler(cause: ractor::SpawnErr) {
            display("the scheduler failed to start: {cause}")
            source(cause)
            from()
        }
    }
}

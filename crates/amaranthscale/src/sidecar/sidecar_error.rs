//! Why a sidecar did not start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

use crate::process::CountersError;

quick_error! {
    /// A sidecar that did not start.
    #[derive(Debug)]
    pub enum SidecarError {
        /// The address cannot be listened at.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen at {address}: {cause}")
            source(cause)
        }
        /// Metrics cannot be sent.
        Metrics(cause: CountersError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The actor that owns the state did not start.
        Gate(cause: ractor::SpawnErr) {
            display("the gate did not start: {cause}")
            source(cause)
            from()
        }
    }
}

//! Events of a simulation run.

use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::Stamp;

use super::fault::Fault;

/// One event on the virtual clock.
#[derive(Debug)]
pub(super) enum Event {
    /// An organisation sends its next request of a pipeline.
    Arrival {
        organisation: usize,
        pipeline: usize,
    },
    /// A caller sends a request, or retries it.
    Try { request: usize },
    /// The caller of a failed request sends it again as a new request.
    Repeat { request: usize },
    /// A request's deadline passes.
    Deadline { request: usize, try_number: u32 },
    /// An attempt reaches its sidecar.
    Dispatched { attempt: usize },
    /// A revocation reaches the sidecar.
    Revoked { attempt: usize },
    /// The backend server has completed an attempt.
    Served { attempt: usize, incarnation: u32 },
    /// An answer reaches the entry.
    Reply {
        attempt: usize,
        end: AttemptEnd,
        stamp: Box<Stamp>,
    },
    /// A connection to a dead process is reset.
    Reset { attempt: usize },
    /// Time to send a hedge beside an attempt.
    Hedge { attempt: usize },
    /// Time to check whether an attempt's connection still answers.
    KeepAlive { attempt: usize },
    /// A fault begins or ends.
    Fault(Fault),
    /// Sidecars remove expired work.
    Sweep,
}

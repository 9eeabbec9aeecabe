//! Proof that a server was checked just before a request is sent to it.

use amaranthscale_core::process::ServerAvailability;

/// Permission for one send, needed by every request to a server.
///
/// A server may have changed since it was chosen: stage results take most of a second, a connection
/// some hundred milliseconds, and a process that was frozen resumes with its old choices.
#[derive(Debug)]
#[must_use = "a permit is for a send that follows at once"]
pub struct SendPermit(());

impl SendPermit {
    /// A permit for a call about a copy of a run, which an engine takes until it is gone: such calls
    /// let its runs end sooner.
    pub(super) const fn check_copy_call(
        availability: ServerAvailability,
    ) -> Result<Self, ServerAvailability> {
        match availability {
            ServerAvailability::Leaving | ServerAvailability::Evacuated => Ok(Self(())),
            other => Self::check(other),
        }
    }

    /// A permit for a server that may be used now; the error is the reason why it may not.
    pub(super) const fn check(
        availability: ServerAvailability,
    ) -> Result<Self, ServerAvailability> {
        if availability.is_usable() {
            Ok(Self(()))
        } else {
            Err(availability)
        }
    }
}

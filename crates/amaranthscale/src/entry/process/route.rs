//! Input and result of the choice of a sidecar for an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId};
use amaranthscale_core::unit::{Class, SidecarClock};
use tokio::time::Instant;

use super::{AttemptKind, Reservation};

/// Input of the choice of a sidecar.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// Service of the stage.
    pub service: ServiceId,
    /// Services of the stages after it.
    pub later_services: Vec<ServiceId>,
    /// Class of the requesting organisation.
    pub class: Class,
    /// Hosts that this stage has already tried.
    pub exclude: Vec<HostId>,
    /// Hash of the prompt's prefix.
    pub affinity: Option<u64>,
    /// Reason for the attempt.
    pub kind: AttemptKind,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Incarnation of a sidecar and an estimate of its clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedSidecar {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Current reading of its clock, as estimated here.
    pub clock: SidecarClock,
}

/// The sidecar chosen for an attempt.
#[derive(Debug)]
pub struct Route {
    /// Host of the sidecar.
    pub host: HostId,
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Its incarnation and clock, if it has answered before.
    pub observed: Option<ObservedSidecar>,
    /// Time by which the stage must end so that the later stages meet the deadline.
    pub stage_deadline: Instant,
    /// Delay after which this attempt may be hedged.
    pub hedge_after: Option<Duration>,
    /// Counts the attempt as in flight at the host.
    pub reservation: Reservation,
}

//! The choice of a sidecar for an attempt: what is asked, and what is answered.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthscale_core::id::{HostId, Incarnation, ServiceId};
use amaranthscale_core::unit::{Class, SidecarClock};
use tokio::time::Instant;

use super::{AttemptKind, Reservation};

/// What the choice of a sidecar depends on.
#[derive(Debug, Clone)]
pub struct RouteQuestion {
    /// Service of the stage.
    pub service: ServiceId,
    /// Services of the stages after it.
    pub later: Vec<ServiceId>,
    /// Class of the organisation that asks.
    pub class: Class,
    /// Hosts that this stage has tried.
    pub exclude: Vec<HostId>,
    /// Hash of the prompt's prefix.
    pub affinity: Option<u64>,
    /// Why the attempt is sent.
    pub kind: AttemptKind,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// When the request's answer is due.
    pub due: Instant,
}

/// What an entry knows of a sidecar's present life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownSidecar {
    /// Life of the sidecar.
    pub incarnation: Incarnation,
    /// Reading of its clock now, as reckoned here.
    pub clock: SidecarClock,
}

/// The sidecar chosen for an attempt.
#[derive(Debug)]
pub struct Route {
    /// Host of the sidecar.
    pub host: HostId,
    /// Address of the sidecar.
    pub address: SocketAddr,
    /// Its present life, if it has answered before.
    pub known: Option<KnownSidecar>,
    /// When the stage must be done, so that the later stages still fit before the deadline.
    pub stage_due: Instant,
    /// Time after which a second attempt may be sent beside this one.
    pub hedge_after: Option<Duration>,
    /// Counts the attempt as in flight there.
    pub reservation: Reservation,
}

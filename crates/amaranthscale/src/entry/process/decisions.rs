//! The actor that makes an entry's decisions: admission, limits, routing and retry budgets.
//!
//! Each request runs as its own task and sends short messages to this actor. State changes only
//! here, one message at a time, so the types from the core crate need no locks.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, OrganisationId, ZoneId};
use amaranthscale_core::process::Refusal;
use amaranthscale_core::unit::Class;
use amaranthscale_core::wire::{HostList, Stamp};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::decisions_state::DecisionsState;
use super::{AdmissionQuery, AttemptReport, DecisionsStatus, Reservation, Route, RouteQuery};

/// A message to the actor.
#[derive(Debug)]
pub enum DecisionsMessage {
    /// Asks whether a request may start.
    Admit(AdmissionQuery, RpcReplyPort<Result<Reservation, Refusal>>),
    /// Releases an admission that was not used.
    ReleaseAdmission(OrganisationId),
    /// Releases a route that was not used.
    ReleaseRoute(HostId),
    /// Asks for the sidecar of the next attempt.
    Route(RouteQuery, RpcReplyPort<Result<Route, Refusal>>),
    /// A sidecar reported its state.
    ObserveStamp(Box<Stamp>),
    /// An attempt ended.
    AttemptEnded(Box<AttemptReport>),
    /// A request ended with its final code.
    RequestEnded(OrganisationId, Class, ResultCode),
    /// The host list changed.
    HostsChanged(HostList),
    /// The complete set of evacuated availability zones.
    EvacuatedZones(BTreeSet<ZoneId>),
    /// Asks for the address of a host.
    HostAddress(HostId, RpcReplyPort<Option<SocketAddr>>),
    /// Asks for the actor's part of `/status`.
    Status(RpcReplyPort<DecisionsStatus>),
}

/// Arguments of the actor.
#[derive(Debug, Clone)]
pub struct DecisionsArguments {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// Hedged attempts allowed per hundred first attempts.
    pub hedge_percent: u32,
}

/// The actor.
#[derive(Debug)]
pub struct Decisions;

impl Actor for Decisions {
    type Msg = DecisionsMessage;
    type State = DecisionsState;
    type Arguments = DecisionsArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<DecisionsMessage>,
        arguments: DecisionsArguments,
    ) -> Result<DecisionsState, ActorProcessingErr> {
        Ok(DecisionsState::new(arguments))
    }

    async fn handle(
        &self,
        myself: ActorRef<DecisionsMessage>,
        message: DecisionsMessage,
        state: &mut DecisionsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            DecisionsMessage::Admit(query, reply) => {
                answer(reply, state.admit(&query, &myself));
            }
            DecisionsMessage::ReleaseAdmission(id) => state.release_admission(&id),
            DecisionsMessage::Route(query, reply) => {
                answer(reply, state.route(&query, &myself));
            }
            DecisionsMessage::ReleaseRoute(host) => state.release_route(&host),
            DecisionsMessage::ObserveStamp(stamp) => state.observe(&stamp),
            DecisionsMessage::AttemptEnded(report) => state.attempt_ended(&report),
            DecisionsMessage::RequestEnded(organisation, class, code) => {
                state.request_ended(&organisation, class, code);
            }
            DecisionsMessage::HostsChanged(hosts) => state.apply_hosts(hosts),
            DecisionsMessage::EvacuatedZones(zones) => state.apply_evacuated_zones(zones),
            DecisionsMessage::HostAddress(host, reply) => {
                answer(reply, state.address(&host));
            }
            DecisionsMessage::Status(reply) => answer(reply, state.status()),
        }
        Ok(())
    }
}

fn answer<T: Send + 'static>(reply: RpcReplyPort<T>, answer: T) {
    // The receiver is dropped if its caller has disconnected.
    let _ = reply.send(answer);
}

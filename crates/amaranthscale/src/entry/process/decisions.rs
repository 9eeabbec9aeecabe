//! The actor that owns an entry's decisions: admission, limits, routing and retry budgets.
//!
//! Requests run as tasks of their own and ask it in short messages. All of its state changes in
//! one place and in one order, so the parts from the core need no locks.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, OrganisationId, ZoneId};
use amaranthscale_core::process::Refusal;
use amaranthscale_core::unit::Class;
use amaranthscale_core::wire::{HostList, Stamp};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::decisions_state::DecisionsState;
use super::{AdmissionQuestion, AttemptReport, DecisionsStatus, Reservation, Route, RouteQuestion};

/// A message to the actor.
#[derive(Debug)]
pub enum Decision {
    /// May a request start?
    Admit(
        AdmissionQuestion,
        RpcReplyPort<Result<Reservation, Refusal>>,
    ),
    /// An admission was not acted on.
    NotStarted(OrganisationId),
    /// A route was not acted on.
    NotSent(HostId),
    /// Which sidecar takes the next attempt?
    Route(RouteQuestion, RpcReplyPort<Result<Route, Refusal>>),
    /// A sidecar told its state.
    Observe(Box<Stamp>),
    /// An attempt ended.
    AttemptEnded(Box<AttemptReport>),
    /// A request ended with its final code.
    RequestEnded(OrganisationId, Class, ResultCode),
    /// The host list changed.
    Hosts(HostList),
    /// Operators have evacuated these availability zones, and no others.
    Evacuated(BTreeSet<ZoneId>),
    /// Where is a host?
    Address(HostId, RpcReplyPort<Option<SocketAddr>>),
    /// What do the books say?
    Status(RpcReplyPort<DecisionsStatus>),
}

/// What the actor starts with.
#[derive(Debug, Clone)]
pub struct DecisionsArguments {
    /// Host of the entry.
    pub host: HostId,
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Retries allowed for each hundred first tries.
    pub retry_percent: u32,
    /// Hedges allowed for each hundred first tries.
    pub hedge_percent: u32,
}

/// The actor.
#[derive(Debug)]
pub struct Decisions;

impl Actor for Decisions {
    type Msg = Decision;
    type State = DecisionsState;
    type Arguments = DecisionsArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Decision>,
        arguments: DecisionsArguments,
    ) -> Result<DecisionsState, ActorProcessingErr> {
        Ok(DecisionsState::new(arguments))
    }

    async fn handle(
        &self,
        myself: ActorRef<Decision>,
        message: Decision,
        state: &mut DecisionsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Decision::Admit(question, reply) => {
                answer(reply, state.admit(&question, &myself));
            }
            Decision::NotStarted(organisation) => state.not_started(&organisation),
            Decision::Route(question, reply) => {
                answer(reply, state.route(&question, &myself));
            }
            Decision::NotSent(host) => state.not_sent(&host),
            Decision::Observe(stamp) => state.observe(&stamp),
            Decision::AttemptEnded(report) => state.attempt_ended(&report),
            Decision::RequestEnded(organisation, class, code) => {
                state.request_ended(&organisation, class, code);
            }
            Decision::Hosts(hosts) => state.take_hosts(hosts),
            Decision::Evacuated(zones) => state.take_evacuated(zones),
            Decision::Address(host, reply) => {
                answer(reply, state.address(&host));
            }
            Decision::Status(reply) => answer(reply, state.status()),
        }
        Ok(())
    }
}

fn answer<T: Send + 'static>(reply: RpcReplyPort<T>, answer: T) {
    // The asker may have gone away with its caller.
    let _ = reply.send(answer);
}

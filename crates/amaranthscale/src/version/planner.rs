//! The actor that plans the placement while this process holds the planner's lease.
//!
//! Every entry competes for the lease, if the settings tree wants models at all. The holder plans
//! from the tree, the host list and the placement in force, and writes in a transaction that
//! checks the lease row. A holder that was paused past its lease so writes nothing: its transaction
//! meets the successor's row, and from that row it learns that it is no longer the holder.

mod arguments;
mod handle;
mod load_reports;
mod overdue_load;
mod settings;
mod status;
mod write_gate;

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{FencingNumber, Incarnation, PlacementVersion};
use amaranthscale_core::unit::SidecarClock;
use amaranthscale_core::version::{
    CompiledTree, HeldLease, LEASE_KEY, LoadTracker, PLACEMENT_KEY, Placement, PlanInput,
    PlannedPlacement, PlannerLease, WriteStep, placement_write, plan_placement,
};
use amaranthscale_core::wire::{HostList, Row};
use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

#[doc(inline)]
pub use arguments::PlannerArguments;
#[doc(inline)]
pub use handle::PlannerHandle;
use load_reports::read_reports;
#[doc(inline)]
pub use overdue_load::OverdueLoad;
#[doc(inline)]
pub use settings::PlannerSettings;
#[doc(inline)]
pub use status::PlannerStatus;
#[doc(inline)]
pub use write_gate::WriteGate;

use crate::process::{PlatformError, TableWrite, new_write_id};

/// Shortest pause between turns, as a share of the set one; entries that start together part.
const LEAST_POLL_SHARE: f64 = 0.75;

/// A message to the planner.
#[derive(Debug)]
pub enum PlannerMessage {
    /// Time to look at the lease, and to plan if it is held.
    Turn,
}

/// The actor.
#[derive(Debug)]
pub struct Planner;

/// State of the actor.
#[derive(Debug)]
pub struct PlannerState {
    arguments: PlannerArguments,
    published: watch::Sender<PlannerStatus>,
    lease: PlannerLease,
    loads: LoadTracker,
    random: SmallRng,
    started: Instant,
    has_wanted_models: bool,
}

impl Actor for Planner {
    type Msg = PlannerMessage;
    type State = PlannerState;
    type Arguments = (PlannerArguments, watch::Sender<PlannerStatus>);

    async fn pre_start(
        &self,
        myself: ActorRef<PlannerMessage>,
        (arguments, published): Self::Arguments,
    ) -> Result<PlannerState, ActorProcessingErr> {
        let incarnation = Incarnation::new(rand::random());
        let settings = arguments.settings;
        myself.cast(PlannerMessage::Turn)?;
        Ok(PlannerState {
            lease: PlannerLease::new(arguments.host.clone(), incarnation, settings.lease_duration),
            loads: LoadTracker::new(settings.load_patience),
            random: SmallRng::seed_from_u64(arguments.seed),
            started: Instant::now(),
            has_wanted_models: false,
            arguments,
            published,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<PlannerMessage>,
        PlannerMessage::Turn: PlannerMessage,
        state: &mut PlannerState,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = state.turn().await {
            state.count("unanswered");
            log::debug!("planner: the platform gave no answer: {error}");
        }
        state.show_lease();
        drop(myself.send_after(state.jittered_poll(), || PlannerMessage::Turn));
        Ok(())
    }
}

impl PlannerState {
    async fn turn(&mut self) -> Result<(), PlatformError> {
        let tree = Arc::clone(&self.arguments.tree.borrow());
        let hosts = self.arguments.hosts.borrow().clone();
        // Failure: a starting entry takes the lease and plans from nothing, and the placement is
        // emptied. Guard: without a host list, or with a tree that is not ready or has never wanted
        // models, it does not compete.
        let Some(hosts) = hosts else {
            return Ok(());
        };
        if !*self.arguments.is_tree_ready.borrow() {
            return Ok(());
        }
        // Once models were wanted it goes on, so that the last of them are taken from the plan.
        self.has_wanted_models |= wants_models(&tree);
        if !self.has_wanted_models {
            return Ok(());
        }
        self.campaign().await?;
        match self.lease.held(self.now()) {
            Some(lease) => self.place(lease, &tree, &hosts).await,
            None => Ok(()),
        }
    }

    /// Reads the lease row, and renews or takes the lease if that is due.
    async fn campaign(&mut self) -> Result<(), PlatformError> {
        let asked = self.now();
        let row = self.arguments.platform.row(LEASE_KEY).await?;
        self.lease.observe(&row, asked);
        let asked = self.now();
        let Some(write) = self.lease.next_write(asked, new_write_id()) else {
            return Ok(());
        };
        let until = Instant::now() + self.arguments.settings.write_patience;
        let step = TableWrite::new(write)
            .settle_until(&self.arguments.platform, until)
            .await;
        self.count("lease_written");
        if let Some(row) = step.as_ref().and_then(row_of) {
            self.lease.observe(row, asked);
        }
        Ok(())
    }

    /// Plans, and writes the plan if it changes anything.
    async fn place(
        &mut self,
        lease: HeldLease,
        tree: &CompiledTree,
        hosts: &HostList,
    ) -> Result<(), PlatformError> {
        let row = self.arguments.platform.row(PLACEMENT_KEY).await?;
        let current = self.parse(&row);
        // Failure: a new holder whose tree is behind undoes the placement of an accepted edit.
        // Guard: the placement names its tree, and nobody plans from an older one.
        if tree.version() < current.tree_version {
            self.count("tree_behind");
            return Ok(());
        }
        self.loads.set_placement(&current.assignments, self.now());
        for (host, running) in read_reports(&self.arguments, &self.loads, hosts).await {
            self.loads.observe_running(&host, &running);
        }
        let planned = plan_placement(&PlanInput {
            services: &tree.tree().services,
            hosts,
            current: &current.assignments,
            loads: &self.loads,
            now: self.now(),
            limits: self.arguments.settings.limits,
        });
        self.show_plan(&row, &planned);
        if planned.assignments != current.assignments {
            self.write(lease, &row, tree, planned).await;
        }
        Ok(())
    }

    async fn write(
        &mut self,
        lease: HeldLease,
        row: &Row,
        tree: &CompiledTree,
        planned: PlannedPlacement,
    ) {
        self.arguments.before_write.pass().await;
        let assignments = planned.assignments;
        let write = placement_write(&lease, row, tree.version(), assignments, new_write_id());
        let asked = self.now();
        let until = Instant::now() + self.arguments.settings.write_patience;
        let settled = TableWrite::new(write)
            .settle_until(&self.arguments.platform, until)
            .await;
        let Some(step) = settled else {
            self.count("undecided");
            return;
        };
        match step {
            WriteStep::Won { row } => {
                self.count("placed");
                info!("planner: placement {} is written", row.version);
                self.published.send_modify(|status| {
                    status.placement_version = PlacementVersion::new(row.version.get());
                });
            }
            WriteStep::LostTo { row } if row.key == LEASE_KEY => {
                self.count("lease_lost");
                warn!("planner: the lease has moved on, so the plan was not written");
                self.lease.observe(&row, asked);
            }
            WriteStep::LostTo { .. } | WriteStep::Superseded { .. } => self.count("overtaken"),
            // It commits only over the row and the lease that it names, so it may still come about
            // safely; the next turn reads the row again.
            WriteStep::Undecided { .. } | WriteStep::Send | WriteStep::ReadBack => {
                self.count("undecided");
            }
        }
    }

    /// Reads a placement; one that cannot be read is planned anew, as nobody else would mend it.
    fn parse(&self, row: &Row) -> Placement {
        let placement = Placement::parse(row);
        if placement.is_none() && !row.value.is_empty() {
            self.count("placement_corrupt");
            warn!(
                "planner: placement {} cannot be read, planning anew",
                row.version
            );
        }
        placement.unwrap_or_default()
    }

    fn show_plan(&self, row: &Row, planned: &PlannedPlacement) {
        let now = self.now();
        let overdue = self.loads.overdue(now);
        let overdue_loads = overdue.map(|(host, model)| OverdueLoad::new(host, model));
        let overdue_loads: Vec<_> = overdue_loads.collect();
        let loads_in_flight = self.loads.in_flight(now).count();
        self.published.send_modify(|status| {
            status.placement_version = PlacementVersion::new(row.version.get());
            status.loads_in_flight = loads_in_flight;
            status.waiting_loads = planned.waiting_loads;
            status.overdue_loads = overdue_loads;
            status.shortfalls.clone_from(&planned.shortfalls);
        });
    }

    /// Shows whether the lease is held; what a former holder knew of loads is outdated.
    fn show_lease(&self) {
        let fencing = self.lease.held(self.now()).map(|lease| lease.fencing);
        let before = self.published.borrow().fencing;
        if fencing == before {
            return;
        }
        log_lease(fencing);
        self.published.send_modify(|status| match fencing {
            Some(_) => status.fencing = fencing,
            None => *status = PlannerStatus::default(),
        });
    }

    fn now(&self) -> SidecarClock {
        SidecarClock::default().plus(self.started.elapsed())
    }

    fn count(&self, reason: &str) {
        self.arguments.counters.count_reason("planner", reason);
    }

    fn jittered_poll(&mut self) -> Duration {
        let share = self.random.random_range(LEAST_POLL_SHARE..1.0);
        self.arguments.settings.poll_interval.mul_f64(share)
    }
}

fn wants_models(tree: &CompiledTree) -> bool {
    let mut services = tree.tree().services.values();
    services.any(|service| !service.models.is_empty())
}

/// The lease row that a settled write ended with.
fn row_of(step: &WriteStep) -> Option<&Row> {
    match step {
        WriteStep::Won { row }
        | WriteStep::Superseded { row }
        | WriteStep::LostTo { row }
        | WriteStep::Undecided { row } => Some(row),
        WriteStep::Send | WriteStep::ReadBack => None,
    }
}

fn log_lease(fencing: Option<FencingNumber>) {
    match fencing {
        Some(fencing) => info!("planner: the lease is ours, with number {fencing}"),
        None => info!("planner: the lease is no longer ours"),
    }
}

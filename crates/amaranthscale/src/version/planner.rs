//! The actor that plans the placement while this process holds the planner's lease.
//!
//! Every entry competes for the lease if the settings tree wants models. The holder plans from the
//! tree, the host list and the placement in force, and writes in a transaction that checks the
//! lease row. A holder that was paused beyond its lease therefore writes nothing: its transaction
//! conflicts with the successor's row, which shows it that it is no longer the holder.

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

/// Shortest time between ticks as a share of the poll interval; it spreads entries that start
/// together.
const MIN_POLL_SHARE: f64 = 0.75;

/// A message to the planner.
#[derive(Debug)]
pub enum PlannerMessage {
    /// Time to check the lease, and to plan if it is held.
    Tick,
}

/// The actor.
#[derive(Debug)]
pub struct Planner;

/// State of the actor.
#[derive(Debug)]
pub struct PlannerState {
    arguments: PlannerArguments,
    status: watch::Sender<PlannerStatus>,
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
        (arguments, status): Self::Arguments,
    ) -> Result<PlannerState, ActorProcessingErr> {
        let incarnation = Incarnation::new(rand::random());
        let settings = arguments.settings;
        myself.cast(PlannerMessage::Tick)?;
        Ok(PlannerState {
            lease: PlannerLease::new(arguments.host.clone(), incarnation, settings.lease_duration),
            loads: LoadTracker::new(settings.load_timeout),
            random: SmallRng::seed_from_u64(arguments.seed),
            started: Instant::now(),
            has_wanted_models: false,
            arguments,
            status,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<PlannerMessage>,
        PlannerMessage::Tick: PlannerMessage,
        state: &mut PlannerState,
    ) -> Result<(), ActorProcessingErr> {
        if let Err(error) = state.tick().await {
            state.count("unanswered");
            log::debug!("planner: the platform gave no answer: {error}");
        }
        state.publish_lease();
        drop(myself.send_after(state.jittered_poll(), || PlannerMessage::Tick));
        Ok(())
    }
}

impl PlannerState {
    async fn tick(&mut self) -> Result<(), PlatformError> {
        let tree = Arc::clone(&self.arguments.tree.borrow());
        let hosts = self.arguments.hosts.borrow().clone();
        // Guards against a starting entry that takes the lease, plans without data and empties the
        // placement: an entry does not compete without a host list, or with a tree that is not
        // ready or has never wanted models.
        let Some(hosts) = hosts else {
            return Ok(());
        };
        if !*self.arguments.is_tree_ready.borrow() {
            return Ok(());
        }
        // Once models were wanted it continues, so that the last of them are removed from the plan.
        self.has_wanted_models |= wants_models(&tree);
        if !self.has_wanted_models {
            return Ok(());
        }
        self.renew_or_acquire_lease().await?;
        match self.lease.held(self.now()) {
            Some(lease) => self.update_placement(lease, &tree, &hosts).await,
            None => Ok(()),
        }
    }

    /// Reads the lease row, and renews or acquires the lease if that is due.
    async fn renew_or_acquire_lease(&mut self) -> Result<(), PlatformError> {
        let requested_at = self.now();
        let row = self.arguments.platform.row(LEASE_KEY).await?;
        self.lease.observe(&row, requested_at);
        let requested_at = self.now();
        let Some(write) = self.lease.next_write(requested_at, new_write_id()) else {
            return Ok(());
        };
        let deadline = Instant::now() + self.arguments.settings.write_timeout;
        let step = TableWrite::new(write)
            .settle_until(&self.arguments.platform, deadline)
            .await;
        self.count("lease_written");
        if let Some(row) = step.as_ref().and_then(row_of) {
            self.lease.observe(row, requested_at);
        }
        Ok(())
    }

    /// Plans, and writes the plan if it changes anything.
    async fn update_placement(
        &mut self,
        lease: HeldLease,
        tree: &CompiledTree,
        hosts: &HostList,
    ) -> Result<(), PlatformError> {
        let row = self.arguments.platform.row(PLACEMENT_KEY).await?;
        let current = self.parse(&row);
        // Guards against a new holder with an outdated tree, which would undo the placement of an
        // accepted edit: the placement has its tree's version, and no holder plans from an older
        // one.
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
        self.publish_plan(&row, &planned);
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
        let requested_at = self.now();
        let deadline = Instant::now() + self.arguments.settings.write_timeout;
        let settled = TableWrite::new(write)
            .settle_until(&self.arguments.platform, deadline)
            .await;
        let Some(step) = settled else {
            self.count("undecided");
            return;
        };
        match step {
            WriteStep::Won { row } => {
                self.count("placed");
                info!("planner: placement {} is written", row.version);
                self.status.send_modify(|status| {
                    status.placement_version = PlacementVersion::new(row.version.get());
                });
            }
            WriteStep::LostTo { row } if row.key == LEASE_KEY => {
                self.count("lease_lost");
                warn!("planner: plan not written, as another process has the lease");
                self.lease.observe(&row, requested_at);
            }
            WriteStep::LostTo { .. } | WriteStep::Superseded { .. } => self.count("overtaken"),
            // It commits only if the row and the lease are still those that it names, so a late
            // commit is safe; the next tick reads the row again.
            WriteStep::Undecided { .. } | WriteStep::Send | WriteStep::ReadBack => {
                self.count("undecided");
            }
        }
    }

    /// Parses a placement; an invalid one is planned anew, as nothing else would repair it.
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

    fn publish_plan(&self, row: &Row, planned: &PlannedPlacement) {
        let now = self.now();
        let overdue = self.loads.overdue(now);
        let overdue_loads = overdue.map(|(host, model)| OverdueLoad::new(host, model));
        let overdue_loads: Vec<_> = overdue_loads.collect();
        let loads_in_flight = self.loads.in_flight(now).count();
        self.status.send_modify(|status| {
            status.placement_version = PlacementVersion::new(row.version.get());
            status.loads_in_flight = loads_in_flight;
            status.waiting_loads = planned.waiting_loads;
            status.overdue_loads = overdue_loads;
            status.shortfalls.clone_from(&planned.shortfalls);
        });
    }

    /// Publishes whether the lease is held; what a former holder knew of loads is outdated.
    fn publish_lease(&self) {
        let fencing = self.lease.held(self.now()).map(|lease| lease.fencing);
        let before = self.status.borrow().fencing;
        if fencing == before {
            return;
        }
        log_lease(fencing);
        self.status.send_modify(|status| match fencing {
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
        let share = self.random.random_range(MIN_POLL_SHARE..1.0);
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
        Some(fencing) => info!("planner: lease acquired with fencing number {fencing}"),
        None => info!("planner: lease no longer held"),
    }
}

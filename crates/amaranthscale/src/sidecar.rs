//! The sidecar daemon: the proxy through which all requests reach one backend server.
//!
//! An entry sends an attempt and reads its answer as a sequence of frames. The attempt waits in a
//! fair queue, is started at most once by the attempt ledger, and, if its call may not be repeated,
//! claims its row of the platform's table just before the call. The answer is retained until it can
//! no longer be fetched, so that an entry whose connection was lost continues reading on a new one.
//!
//! An attempt outlives the connection that carried it. Repeatable work is cancelled at its deadline
//! or when it is revoked; a call that may not be repeated is never cancelled, and its outcome stays
//! in memory until it is stored in the table.
//!
//! A leaving sidecar refuses new attempts at once. Queued attempts may start for a short grace
//! period, after which the rest is refused as not run; running attempts are allowed to end.

mod answer;
mod answer_body;
mod backend_client;
mod call_error;
mod claim_writer;
mod cost_writer;
mod job;
mod orders;
mod routes;
mod runner;
mod scheduler;
mod shared_state;
mod sidecar_config;
mod sidecar_error;
mod sidecar_limits;
mod sidecar_with_tree;
mod status;
mod tree_source;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::Incarnation;
use log::{info, warn};
use ractor::{Actor, ActorRef, call};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};

use backend_client::BackendClient;
use claim_writer::ClaimWriter;
use cost_writer::CostWriter;
#[doc(inline)]
pub use orders::OrderSettings;
use orders::{OrderLoop, SharedEngineStatus};
use routes::{Routes, begin_leaving};
use runner::Runner;
use scheduler::{Scheduler, SchedulerMessage};
use shared_state::SharedState;
#[doc(inline)]
pub use sidecar_config::SidecarConfig;
#[doc(inline)]
pub use sidecar_error::SidecarError;
#[doc(inline)]
pub use sidecar_limits::SidecarLimits;
#[doc(inline)]
pub use sidecar_with_tree::SidecarWithTree;
#[doc(inline)]
pub use tree_source::TreeSource;

use crate::connection::{HttpServer, HttpServerLimits};
use crate::process::{ControlKind, ControlTraffic, Counters, PlatformClient};

/// Time between two ticks; attempts that expire in the queue are refused within it.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for entries to read ended answers; a live entry needs milliseconds.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// A running sidecar.
#[derive(Debug)]
pub struct Sidecar {
    server: HttpServer,
    scheduler: ActorRef<SchedulerMessage>,
    scheduler_task: JoinHandle<()>,
    runner: Arc<Runner>,
    costs: Arc<CostWriter>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl Sidecar {
    /// Starts a new incarnation of a sidecar and listens.
    pub async fn start(config: SidecarConfig, tree: TreeSource) -> Result<Self, SidecarError> {
        let counters = counters(&config)?;
        Self::start_with_counters(config, tree, counters).await
    }

    /// Starts a new incarnation that shares the counters of its process.
    pub(crate) async fn start_with_counters(
        config: SidecarConfig,
        tree: TreeSource,
        counters: Arc<Counters>,
    ) -> Result<Self, SidecarError> {
        let listen = config.listen;
        let cost_platform = platform(&config, &counters).with_kind(ControlKind::CostWrite);
        let runner = Arc::new(runner(&config, tree, counters));
        let (scheduler, scheduler_task) =
            Actor::spawn(None, Scheduler, Arc::clone(&runner)).await?;
        let routes = Arc::new(Routes {
            scheduler: scheduler.clone(),
            runner: Arc::clone(&runner),
        });
        let answer = move |request| Arc::clone(&routes).answer(request);
        let server = HttpServer::start(listen, HttpServerLimits::default(), answer).await;
        let server = server.map_err(|cause| SidecarError::Listen(listen, cause))?;
        let costs = Arc::new(CostWriter::new(scheduler.clone(), cost_platform));
        let mut background_tasks = vec![
            tokio::spawn(send_ticks(scheduler.clone())),
            tokio::spawn(Arc::clone(&costs).run(config.limits.cost_write_interval)),
        ];
        background_tasks
            .extend(order_loop(&config, &runner).map(|orders| tokio::spawn(orders.run())));
        info!("sidecar: {} listening on {}", config.host, server.address());
        Ok(Self {
            server,
            scheduler,
            scheduler_task,
            runner,
            costs,
            background_tasks,
        })
    }

    /// Address that the sidecar listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Incarnation of this sidecar.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.runner.shared.incarnation
    }

    /// Counters of refusals, retries and drops.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.runner.counters
    }

    /// Refuses new attempts from now on.
    pub fn leave(&self) {
        begin_leaving(&self.runner, &self.scheduler);
    }

    /// Completes when the sidecar's actor has stopped, after which it can serve no requests.
    pub async fn failed(&mut self) {
        let _ = (&mut self.scheduler_task).await;
    }

    /// Leaves, waits for running attempts and returns whether all ended within the timeout.
    pub async fn stop(self) -> bool {
        self.leave();
        let deadline = Instant::now() + self.runner.limits.drain_timeout;
        let is_drained = tokio::time::timeout_at(deadline, self.drain())
            .await
            .is_ok();
        if !is_drained {
            self.runner.counters.count("drain.bound_passed");
            warn!("sidecar: drain timed out, stopping with unfinished work");
        }
        // Answers that have just ended are still being sent to their entries. Without this limit
        // one dead connection would delay the stop until the drain timeout.
        let left = deadline.saturating_duration_since(Instant::now());
        let is_sent = self.server.stop(left.min(FINAL_SEND_TIMEOUT)).await;
        for task in &self.background_tasks {
            task.abort();
        }
        self.scheduler.stop(None);
        is_drained && is_sent
    }

    async fn drain(&self) {
        let _ = call!(self.scheduler, SchedulerMessage::WaitDrained);
        // Each claimed attempt holds a permit until its row is settled.
        let claim_permits = &self.runner.claim_permits;
        let _ = claim_permits
            .acquire_many(self.runner.limits.max_unsettled_claims)
            .await;
        self.costs.write_final().await;
    }
}

fn counters(config: &SidecarConfig) -> Result<Arc<Counters>, SidecarError> {
    Ok(Arc::new(match config.statsd {
        Some(address) => Counters::with_statsd("sidecar", address)?,
        None => Counters::local("sidecar"),
    }))
}

fn runner(config: &SidecarConfig, tree: TreeSource, counters: Arc<Counters>) -> Runner {
    let incarnation = Incarnation::new(rand::random());
    let claim_writer = ClaimWriter::new(
        config.host.clone(),
        incarnation,
        platform(config, &counters).with_kind(ControlKind::Claim),
        Arc::clone(&counters),
    );
    let slots = usize::try_from(config.limits.queue.slots).unwrap_or(usize::MAX);
    let claim_permits = usize::try_from(config.limits.max_unsettled_claims).unwrap_or(usize::MAX);
    let shared = Arc::new(SharedState::new(config.host.clone(), incarnation, tree));
    Runner {
        service: config.service.clone(),
        limits: config.limits,
        backend: Arc::new(BackendClient::new(
            config.backend,
            slots,
            Arc::clone(&shared),
        )),
        shared,
        claim_writer: Arc::new(claim_writer),
        counters,
        claim_permits: Arc::new(Semaphore::new(claim_permits.min(Semaphore::MAX_PERMITS))),
        engine: config.orders.map(SharedEngineStatus::new).map(Arc::new),
    }
}

fn order_loop(config: &SidecarConfig, runner: &Runner) -> Option<OrderLoop> {
    let settings = config.orders?;
    let engine = Arc::clone(runner.engine.as_ref()?);
    let (shared, counters) = (Arc::clone(&runner.shared), Arc::clone(&runner.counters));
    let platform = platform(config, &counters).with_kind(ControlKind::Placement);
    Some(OrderLoop::new(
        settings,
        config.backend,
        platform,
        shared,
        engine,
        counters,
    ))
}

fn platform(config: &SidecarConfig, counters: &Arc<Counters>) -> PlatformClient {
    PlatformClient::new(config.platform, config.limits.platform)
        .with_traffic(ControlTraffic::new(Arc::clone(counters)))
}

async fn send_ticks(scheduler: ActorRef<SchedulerMessage>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if scheduler.cast(SchedulerMessage::Tick).is_err() {
            return;
        }
    }
}

//! The process beside each backend server, and the only door to it.
//!
//! An entry sends an attempt and reads its answer as a run of frames. The attempt waits in a fair
//! queue, starts at most once by the attempt ledger, and, if its call may not be repeated, claims
//! its row of the platform's table just before the call. The answer is kept until nobody can want
//! it, so that an entry whose connection broke or went silent reads on from a new one.
//!
//! An attempt outlives the connection that brought it. Repeatable work ends at its deadline or
//! when it is revoked; a call that may not be repeated is never cut off, and its outcome stays in
//! memory until the table has it.
//!
//! A sidecar that leaves refuses new attempts at once. What it has admitted may start for a short
//! grace, the rest of the queue is handed back as not run, and what runs is let end.

mod answer;
mod answer_body;
mod backend_client;
mod board;
mod call_error;
mod claims;
mod cost_writer;
mod gate;
mod job;
mod orders;
mod routes;
mod runner;
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
use board::Board;
use claims::Claims;
use cost_writer::CostWriter;
use gate::{Gate, GateMessage};
#[doc(inline)]
pub use orders::OrderSettings;
use orders::{EngineBoard, OrderLoop};
use routes::{Routes, begin_leaving};
use runner::Runner;
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

/// Time between two ticks. Attempts that expire in the queue are told so within it.
const TICK: Duration = Duration::from_millis(100);

/// Longest wait for entries to read what was ended; a live one takes milliseconds.
const SEND_BOUND: Duration = Duration::from_secs(10);

/// A running sidecar.
#[derive(Debug)]
pub struct Sidecar {
    server: HttpServer,
    gate: ActorRef<GateMessage>,
    gate_task: JoinHandle<()>,
    runner: Arc<Runner>,
    costs: Arc<CostWriter>,
    chores: Vec<JoinHandle<()>>,
}

impl Sidecar {
    /// Starts a new life of a sidecar and listens.
    pub async fn start(config: SidecarConfig, tree: TreeSource) -> Result<Self, SidecarError> {
        let counters = counters(&config)?;
        Self::start_counting(config, tree, counters).await
    }

    /// Starts a new life that counts together with other parts of its process.
    pub(crate) async fn start_counting(
        config: SidecarConfig,
        tree: TreeSource,
        counters: Arc<Counters>,
    ) -> Result<Self, SidecarError> {
        let listen = config.listen;
        let cost_platform = platform(&config, &counters).with_kind(ControlKind::CostWrite);
        let runner = Arc::new(runner(&config, tree, counters));
        let (gate, gate_task) = Actor::spawn(None, Gate, Arc::clone(&runner)).await?;
        let routes = Arc::new(Routes {
            gate: gate.clone(),
            runner: Arc::clone(&runner),
        });
        let answer = move |request| Arc::clone(&routes).answer(request);
        let server = HttpServer::start(listen, HttpServerLimits::default(), answer).await;
        let server = server.map_err(|cause| SidecarError::Listen(listen, cause))?;
        let costs = Arc::new(CostWriter::new(gate.clone(), cost_platform));
        let mut chores = vec![
            tokio::spawn(tick(gate.clone())),
            tokio::spawn(Arc::clone(&costs).run(config.limits.cost_interval)),
        ];
        chores.extend(order_loop(&config, &runner).map(|orders| tokio::spawn(orders.run())));
        info!("sidecar: {} listens at {}", config.host, server.address());
        Ok(Self {
            server,
            gate,
            gate_task,
            runner,
            costs,
            chores,
        })
    }

    /// The address that the sidecar listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.runner.board.incarnation
    }

    /// Counters of refusals, retries and drops.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.runner.counters
    }

    /// Refuses new attempts from now on.
    pub fn leave(&self) {
        begin_leaving(&self.runner, &self.gate);
    }

    /// Completes when the sidecar can serve no more because of a fault of its own.
    pub async fn failed(&mut self) {
        let _ = (&mut self.gate_task).await;
    }

    /// Leaves, lets what runs end, and says whether all did within the bound.
    pub async fn stop(self) -> bool {
        self.leave();
        let deadline = Instant::now() + self.runner.limits.drain_bound;
        let is_drained = tokio::time::timeout_at(deadline, self.drain())
            .await
            .is_ok();
        if !is_drained {
            self.runner.counters.count("drain.bound_passed");
            warn!("sidecar: stops with work left");
        }
        // Answers that were just ended are still on their way to their entries. One connection that
        // has gone silent would otherwise hold the stop up to its bound.
        let left = deadline.saturating_duration_since(Instant::now());
        let is_sent = self.server.stop(left.min(SEND_BOUND)).await;
        for chore in &self.chores {
            chore.abort();
        }
        self.gate.stop(None);
        is_drained && is_sent
    }

    async fn drain(&self) {
        let _ = call!(self.gate, GateMessage::Drained);
        // Each claimed attempt holds a permit until its row is settled.
        let table_jobs = &self.runner.table_jobs;
        let _ = table_jobs
            .acquire_many(self.runner.limits.max_table_jobs)
            .await;
        self.costs.write().await;
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
    let claims = Claims::new(
        config.host.clone(),
        incarnation,
        platform(config, &counters).with_kind(ControlKind::Claim),
        Arc::clone(&counters),
    );
    let slots = usize::try_from(config.limits.queue.slots).unwrap_or(usize::MAX);
    let table_jobs = usize::try_from(config.limits.max_table_jobs).unwrap_or(usize::MAX);
    Runner {
        service: config.service.clone(),
        limits: config.limits,
        board: Arc::new(Board::new(config.host.clone(), incarnation, tree)),
        backend: Arc::new(BackendClient::new(config.backend, slots)),
        claims: Arc::new(claims),
        counters,
        table_jobs: Arc::new(Semaphore::new(table_jobs.min(Semaphore::MAX_PERMITS))),
        engine: config.orders.map(EngineBoard::new).map(Arc::new),
    }
}

fn order_loop(config: &SidecarConfig, runner: &Runner) -> Option<OrderLoop> {
    let settings = config.orders?;
    let engine = Arc::clone(runner.engine.as_ref()?);
    let (board, counters) = (Arc::clone(&runner.board), Arc::clone(&runner.counters));
    let platform = platform(config, &counters).with_kind(ControlKind::Placement);
    Some(OrderLoop::new(
        settings,
        config.backend,
        platform,
        board,
        engine,
        counters,
    ))
}

fn platform(config: &SidecarConfig, counters: &Arc<Counters>) -> PlatformClient {
    PlatformClient::new(config.platform, config.limits.platform)
        .with_traffic(ControlTraffic::new(Arc::clone(counters)))
}

async fn tick(gate: ActorRef<GateMessage>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if gate.cast(GateMessage::Tick).is_err() {
            return;
        }
    }
}

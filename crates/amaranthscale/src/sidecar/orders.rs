//! Brings the engine beside this sidecar to what the placement wants.
//!
//! The placement row is polled; [`EngineOrders`] decides what is due and only ever moves up. An
//! assignment reaches the engine as single steps (unload, change role, load), each sent after the
//! one before was answered, all with the placement's version as their fencing number.
//!
//! What the engine runs is read from itself before each order. A restarted engine is so ordered
//! again, and a step that is done already is not repeated.

mod engine_board;
mod engine_client;
mod engine_step;
mod order_error;
mod order_settings;

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::version::{
    Assignment, EngineOrder, EngineOrders, PLACEMENT_HEAD_KEY, PLACEMENT_KEY, PlacementUpdate,
    read_placement_head,
};
use amaranthscale_core::wire::Row;
use log::{info, warn};

#[doc(inline)]
pub(super) use engine_board::{EngineBoard, EngineStatus};
use engine_client::EngineClient;
use engine_step::steps;
use order_error::OrderError;
#[doc(inline)]
pub use order_settings::OrderSettings;

use super::board::Board;
use crate::process::{Counters, PlatformClient};

/// Shortest pause between polls, as a share of the set one; sidecars that start together part.
const LEAST_POLL_SHARE: f64 = 0.75;

/// Polls the placement and orders the engine.
#[derive(Debug)]
pub(super) struct OrderLoop {
    settings: OrderSettings,
    orders: EngineOrders,
    engine: EngineClient,
    platform: PlatformClient,
    board: Arc<Board>,
    shown: Arc<EngineBoard>,
    counters: Arc<Counters>,
}

impl OrderLoop {
    pub(super) fn new(
        settings: OrderSettings,
        engine: SocketAddr,
        platform: PlatformClient,
        board: Arc<Board>,
        shown: Arc<EngineBoard>,
        counters: Arc<Counters>,
    ) -> Self {
        let orders = EngineOrders::new(board.host.clone(), settings.order_timeout)
            .with_refusal_pause(settings.refusal_retry_delay);
        Self {
            settings,
            orders,
            engine: EngineClient::new(engine, settings.order_timeout),
            platform,
            board,
            shown,
            counters,
        }
    }

    /// Runs until its task ends.
    pub(super) async fn run(mut self) {
        loop {
            self.turn().await;
            let share = rand::random_range(LEAST_POLL_SHARE..1.0);
            tokio::time::sleep(self.settings.poll_interval.mul_f64(share)).await;
        }
    }

    async fn turn(&mut self) {
        self.read_placement().await;
        let Some(running) = self.read_engine().await else {
            return;
        };
        // Failure: a leaving host's engine unloads a model under requests that still run, since
        // its sidecar meets an old plan. Guard: who leaves gives no more orders.
        if self.board.is_leaving() {
            return;
        }
        if let Some(order) = self.orders.next(self.board.now()) {
            self.carry_out(order, &running).await;
        }
    }

    async fn read_placement(&mut self) {
        match self.platform.row(PLACEMENT_HEAD_KEY).await {
            Ok(head) if self.is_at(&head) => return,
            Ok(_moved) => {}
            Err(_away) => return self.counters.count("orders.placement_unread"),
        }
        let row = match self.platform.row(PLACEMENT_KEY).await {
            Ok(row) => row,
            Err(_away) => return self.counters.count("orders.placement_unread"),
        };
        match self.orders.observe(&row) {
            PlacementUpdate::Applied => info!("sidecar: placement {} is taken", row.version),
            PlacementUpdate::NotNewer => {}
            PlacementUpdate::Corrupt => {
                self.counters.count("orders.placement_corrupt");
                warn!("sidecar: placement {} cannot be read", row.version);
            }
        }
        let version = self.orders.view().version();
        self.shown.set_wanted(version, self.orders.wanted());
    }

    /// Whether the placement has been read at the version that its head row tells.
    fn is_at(&self, head: &Row) -> bool {
        let view = self.orders.view();
        let version = read_placement_head(head).unwrap_or_default();
        view.is_read() && version <= view.version()
    }

    async fn read_engine(&mut self) -> Option<Assignment> {
        match self.engine.running().await {
            Ok(running) => {
                self.orders.observe_running(running.clone());
                self.shown.set_running(running.clone());
                Some(running)
            }
            Err(error) => {
                self.counters.count("orders.engine_unread");
                self.shown.set_failure(&error);
                None
            }
        }
    }

    async fn carry_out(&mut self, order: EngineOrder, running: &Assignment) {
        if order.replaces_unanswered {
            self.counters.count("orders.after_silence");
        }
        self.shown.set_in_flight(Some(order.number));
        let sent = self.send_steps(&order, running).await;
        self.shown.set_in_flight(None);
        match sent {
            Ok(()) => self.done(order),
            // Nothing tells whether the engine has carried it out: it counts as under way until it
            // has been silent for long enough.
            Err(error @ OrderError::NoAnswer(_)) => self.failed("orders.unanswered", &error),
            Err(error @ OrderError::Refused(_)) => {
                self.orders.refused(order.number, self.board.now());
                self.failed("orders.refused", &error);
            }
        }
    }

    /// Sends the steps one by one; the first refusal is what comes of them.
    ///
    /// Failure: a model that cannot be loaded keeps all the models after it from its engine. Guard:
    /// a refused step is known not to be under way, so the next may go out.
    async fn send_steps(
        &self,
        order: &EngineOrder,
        running: &Assignment,
    ) -> Result<(), OrderError> {
        let mut outcome = Ok(());
        for step in steps(running, &order.assignment) {
            self.counters.count("orders.sent");
            match self.engine.order(order.number, step).await {
                Err(OrderError::Refused(status)) if outcome.is_ok() => {
                    outcome = Err(OrderError::Refused(status));
                }
                Ok(()) | Err(OrderError::Refused(_)) => {}
                Err(error @ OrderError::NoAnswer(_)) => return Err(error),
            }
        }
        outcome
    }

    fn done(&mut self, order: EngineOrder) {
        self.orders.confirmed(order.number);
        info!("sidecar: the engine runs placement {}", order.number);
        self.shown.set_done(order.assignment);
    }

    fn failed(&self, counter: &str, error: &OrderError) {
        self.counters.count(counter);
        warn!("sidecar: an order failed: {error}");
        self.shown.set_failure(error);
    }
}

//! Orders the sidecar's engine to run what the placement assigns to it.
//!
//! The placement row is polled, and [`EngineOrders`] decides which order is due; placement versions
//! only increase. An assignment is sent as single steps (unload, change role, load), each after the
//! previous one was answered, all with the placement's version as fencing number.
//!
//! The engine is asked for its current assignment before each order, so that a restarted engine is
//! ordered again and steps that are already done are not repeated.

mod engine_client;
mod engine_step;
mod order_error;
mod order_settings;
mod shared_engine_status;

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthscale_core::version::{
    Assignment, EngineOrder, EngineOrders, PLACEMENT_HEAD_KEY, PLACEMENT_KEY, PlacementUpdate,
    read_placement_head,
};
use amaranthscale_core::wire::Row;
use log::{info, warn};

use engine_client::EngineClient;
use engine_step::steps;
use order_error::OrderError;
#[doc(inline)]
pub use order_settings::OrderSettings;
#[doc(inline)]
pub(super) use shared_engine_status::{EngineStatus, SharedEngineStatus};

use super::shared_state::SharedState;
use crate::process::{Counters, PlatformClient};

/// Shortest poll interval as a fraction of the configured one; spreads sidecars that start
/// together.
const MIN_POLL_FRACTION: f64 = 0.75;

/// Polls the placement and sends orders to the engine.
#[derive(Debug)]
pub(super) struct OrderLoop {
    settings: OrderSettings,
    orders: EngineOrders,
    engine: EngineClient,
    platform: PlatformClient,
    shared: Arc<SharedState>,
    engine_status: Arc<SharedEngineStatus>,
    counters: Arc<Counters>,
}

impl OrderLoop {
    pub(super) fn new(
        settings: OrderSettings,
        engine: SocketAddr,
        platform: PlatformClient,
        shared: Arc<SharedState>,
        engine_status: Arc<SharedEngineStatus>,
        counters: Arc<Counters>,
    ) -> Self {
        let orders = EngineOrders::new(shared.host.clone(), settings.order_timeout)
            .with_refusal_pause(settings.refusal_retry_delay);
        Self {
            settings,
            orders,
            engine: EngineClient::new(engine, settings.order_timeout),
            platform,
            shared,
            engine_status,
            counters,
        }
    }

    /// Runs until its task ends.
    pub(super) async fn run(mut self) {
        loop {
            self.poll_once().await;
            let fraction = rand::random_range(MIN_POLL_FRACTION..1.0);
            tokio::time::sleep(self.settings.poll_interval.mul_f64(fraction)).await;
        }
    }

    async fn poll_once(&mut self) {
        self.read_placement().await;
        let Some(running) = self.read_engine().await else {
            return;
        };
        // A leaving sidecar sends no orders: an outdated placement could make its engine unload a
        // model that running requests still use.
        if self.shared.is_leaving() {
            return;
        }
        if let Some(order) = self.orders.next(self.shared.now()) {
            self.execute(order, &running).await;
        }
    }

    async fn read_placement(&mut self) {
        match self.platform.row(PLACEMENT_HEAD_KEY).await {
            Ok(head) if self.is_current(&head) => return,
            Ok(_newer) => {}
            Err(_unavailable) => return self.counters.count("orders.placement_unread"),
        }
        let row = match self.platform.row(PLACEMENT_KEY).await {
            Ok(row) => row,
            Err(_unavailable) => return self.counters.count("orders.placement_unread"),
        };
        match self.orders.observe(&row) {
            PlacementUpdate::Applied => info!("sidecar: placement {} applied", row.version),
            PlacementUpdate::NotNewer => {}
            PlacementUpdate::Corrupt => {
                self.counters.count("orders.placement_corrupt");
                warn!("sidecar: placement {} cannot be read", row.version);
            }
        }
        let version = self.orders.view().version();
        self.engine_status.set_wanted(version, self.orders.wanted());
    }

    /// Whether the placement was read at the version given by its head row.
    fn is_current(&self, head: &Row) -> bool {
        let view = self.orders.view();
        let version = read_placement_head(head).unwrap_or_default();
        view.is_read() && version <= view.version()
    }

    async fn read_engine(&mut self) -> Option<Assignment> {
        match self.engine.running().await {
            Ok(running) => {
                self.orders.observe_running(running.clone());
                self.engine_status.set_running(running.clone());
                Some(running)
            }
            Err(error) => {
                self.counters.count("orders.engine_unread");
                self.engine_status.set_failure(&error);
                None
            }
        }
    }

    async fn execute(&mut self, order: EngineOrder, running: &Assignment) {
        if order.replaces_unanswered {
            self.counters.count("orders.after_silence");
        }
        self.engine_status.set_in_flight(Some(order.number));
        let sent = self.send_steps(&order, running).await;
        self.engine_status.set_in_flight(None);
        match sent {
            Ok(()) => self.confirm(order),
            // It is unknown whether the engine has executed the order, so it counts as in flight
            // until the order timeout.
            Err(error @ OrderError::NoAnswer(_)) => self.log_failure("orders.unanswered", &error),
            Err(error @ OrderError::Refused(_)) => {
                self.orders.refused(order.number, self.shared.now());
                self.log_failure("orders.refused", &error);
            }
        }
    }

    /// Sends the steps one by one and returns the first refusal, if any.
    ///
    /// A refused step is not in flight, so the next one is sent. Otherwise a model that cannot be
    /// loaded would prevent loading all models after it.
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

    fn confirm(&mut self, order: EngineOrder) {
        self.orders.confirmed(order.number);
        info!("sidecar: the engine runs placement {}", order.number);
        self.engine_status.set_confirmed(order.assignment);
    }

    fn log_failure(&self, counter: &str, error: &OrderError) {
        self.counters.count(counter);
        warn!("sidecar: an order failed: {error}");
        self.engine_status.set_failure(error);
    }
}

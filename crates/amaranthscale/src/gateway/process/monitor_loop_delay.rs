//! Measures how late the event loop is, by which callers' new connections are served or closed;
//! without the measurement all are served.

use std::sync::Arc;

use amaranthscale_core::process::{INTAKE_SAMPLE_INTERVAL, LagChange};
use log::{info, warn};
use tokio::time::Instant;

use super::super::clock::ms;
use super::GatewayContext;

/// Measures the delay of the event loop as long as the gateway runs.
pub async fn monitor_loop_delay(context: Arc<GatewayContext>) {
    loop {
        let due = Instant::now() + INTAKE_SAMPLE_INTERVAL;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        context.latencies.record("event-loop", delay);
        let now = context.cluster_view.clock().now();
        let change = context.caller_intake().record_loop_delay(delay, now);
        match change {
            Some(LagChange::FellBehind) => {
                let open = context.shutdown.open_requests();
                warn!(late_ms = ms(delay), open; "callers: overloaded, closing new connections unread");
            }
            Some(LagChange::CaughtUp) => {
                info!("callers: caught up, serving all new connections again");
            }
            None => {}
        }
    }
}

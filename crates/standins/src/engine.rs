//! Stand-in of a model engine with continuous batching.
//!
//! A limited number of sequences run together; each further one slows the token step of all. A
//! call that finds no free slot waits, by priority and then in order of arrival. A call is
//! recorded when it gets its slot, and cancelled when its connection drops. While frozen no work
//! progresses, but tests can still use `GET /executions`, `GET /orders` and set faults.

mod cache_event;
mod cache_event_log;
mod cancellation_registry;
mod engine_execution;
mod engine_load;
mod engine_order;
mod engine_routes;
mod engine_settings;
mod engine_state;
mod execution_log;
mod generation;
mod operation;
mod order_log;
mod prefix_cache;
mod prompt;
mod slot_queue;

use std::io;
use std::sync::Arc;

use crate::http::{RunningStandin, StopSignal, start_server};

#[doc(inline)]
pub use cache_event::{CacheEvent, CacheEventKind};
#[doc(inline)]
pub use engine_execution::EngineExecution;
#[doc(inline)]
pub use engine_load::EngineLoad;
#[doc(inline)]
pub use engine_order::{EngineOrder, EngineRole, FencedOrder, OrderRecord, OrderReply, OrderState};
#[doc(inline)]
pub use engine_settings::EngineSettings;
#[doc(inline)]
pub use operation::{Operation, UnknownOperation};

/// Stand-in of a model engine.
#[derive(Debug)]
pub struct Engine;

impl Engine {
    /// Starts it within this process.
    pub async fn start(settings: EngineSettings) -> io::Result<RunningStandin> {
        let listen = settings.listen;
        let stop = StopSignal::new();
        let state = Arc::new(engine_state::EngineState::new(settings, stop.clone()));
        let handler = move |request| engine_routes::handle(Arc::clone(&state), request);
        start_server(listen, stop, handler).await
    }
}

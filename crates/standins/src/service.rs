//! Stand-in of a plain service, some of whose calls must not be retried.
//!
//! It records each call when it starts, so that a test sees every execution, also that of a
//! call whose caller disconnected or never received an answer.

mod service_execution;
mod service_routes;
mod service_settings;
mod service_state;

use std::io;
use std::sync::Arc;

use crate::http::{RunningStandin, StopSignal, start_server};

#[doc(inline)]
pub use service_execution::ServiceExecution;
#[doc(inline)]
pub use service_settings::ServiceSettings;

/// Stand-in of a plain service.
#[derive(Debug)]
pub struct Service;

impl Service {
    /// Starts it within this process.
    pub async fn start(settings: ServiceSettings) -> io::Result<RunningStandin> {
        let listen = settings.listen;
        let stop = StopSignal::new();
        let state = Arc::new(service_state::ServiceState::new(settings, stop.clone()));
        let handler = move |request| service_routes::handle(Arc::clone(&state), request);
        start_server(listen, stop, handler).await
    }
}

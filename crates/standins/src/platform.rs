//! The platform's table, object store and host list.
//!
//! All state is in memory behind one lock, so each transaction is atomic. Faults apply in the
//! order in which a real call would meet them: silence and outage first, then the rate limits,
//! then half of the latency, the effect, the other half, and at last a lost answer.

mod counts;
mod host_directory;
mod platform_faults;
mod platform_settings;
mod rate_window;
mod routes;
mod state;
mod table;

use std::io;

use crate::http::{RunningStandin, StopSignal, start_server};

#[doc(inline)]
pub use counts::PlatformCounts;
#[doc(inline)]
pub use platform_faults::PlatformFaults;
#[doc(inline)]
pub use platform_settings::PlatformSettings;

/// Stand-in of the platform.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts it within this process.
    pub async fn start(settings: PlatformSettings) -> io::Result<RunningStandin> {
        let listen = settings.listen;
        let state = state::State::new(settings);
        let handler = move |request| routes::handle(state.clone(), request);
        start_server(listen, StopSignal::new(), handler).await
    }
}

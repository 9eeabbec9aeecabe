//! A relay of TCP connections that can delay, cut or silence them.
//!
//! A silenced connection stays open at both ends, but no bytes pass any more: the relay simulates
//! a device between two hosts that has lost its state for the connection, while new ones work.

mod connection_state;
mod relay_counts;
mod relay_faults;
mod relay_routes;
mod relay_settings;
mod relay_state;
mod relayed_connection;
mod running_relay;

use std::future::ready;
use std::io;
use std::sync::Arc;

use crate::acceptor::start_acceptor;
use crate::http::{StopSignal, start_server};

pub(crate) use connection_state::ConnectionState;

#[doc(inline)]
pub use relay_counts::RelayCounts;
#[doc(inline)]
pub use relay_faults::RelayFaults;
#[doc(inline)]
pub use relay_settings::RelaySettings;
#[doc(inline)]
pub use running_relay::RunningRelay;

/// A relay of TCP connections.
#[derive(Debug)]
pub struct Relay;

impl Relay {
    /// Starts it within this process.
    pub async fn start(settings: RelaySettings) -> io::Result<RunningRelay> {
        let state = Arc::new(relay_state::RelayState::new(settings.to));
        let stop = StopSignal::new();
        let admin_state = Arc::clone(&state);
        let handler = move |request| ready(Ok(relay_routes::handle(&admin_state, &request)));
        let admin = start_server(settings.admin, stop.clone(), handler).await?;
        let serve = move |stream| relayed_connection::serve(Arc::clone(&state), stream);
        let relay = start_acceptor(settings.listen, stop, serve).await?;
        Ok(RunningRelay::new(relay, admin))
    }
}

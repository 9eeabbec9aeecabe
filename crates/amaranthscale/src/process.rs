//! State that lives as long as its process.

pub mod settings;

mod bounded_log;
mod control_kind;
mod control_traffic;
mod counters;
mod daemon_command;
mod host_poll;
mod latencies;
mod millis;
mod platform_client;
mod stop_signal;
mod table_write;

pub(crate) use millis::ms;

#[doc(inline)]
pub use bounded_log::{BoundedLogWriter, start_bounded_logging};
#[doc(inline)]
pub use control_kind::{ControlCounterNames, ControlKind};
#[doc(inline)]
pub use control_traffic::ControlTraffic;
#[doc(inline)]
pub use counters::{Counters, CountersError};
#[doc(inline)]
pub use daemon_command::{
    daemon_command, listen_override, print_listen_address, print_peer_address, read_settings,
    start_logging,
};
#[doc(inline)]
pub use host_poll::poll_hosts;
#[doc(inline)]
pub use latencies::Latencies;
#[doc(inline)]
pub use platform_client::{PlatformClient, PlatformClientLimits, PlatformError};
#[doc(inline)]
pub use stop_signal::StopSignal;
#[doc(inline)]
pub use table_write::{TableWrite, new_write_id};

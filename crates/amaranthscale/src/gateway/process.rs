//! What lives as long as the process: the owner of the batches and the parts that requests share.

mod batch_calls;
mod batch_message;
mod batch_owner;
mod batch_owner_handle;
mod batch_owners;
mod bounded_servers;
mod budgets;
mod crash_watch;
mod kept_pieces;
mod limit_tracker;
mod parts;
mod peer_message;
mod peer_pieces;
mod peer_server;
mod pieces;
mod server_uses;
mod service_prompt_times;
mod single_run;
mod stop_gate;
mod tell_crashes;
mod tell_limits;
mod tend_silent;

#[doc(inline)]
pub use batch_message::{BatchOwnerMessage, JobOutcome, JobSource, JobUpdate, Submission};
#[doc(inline)]
pub use batch_owner::{BatchOwner, BatchOwnerArguments};
#[doc(inline)]
pub use batch_owner_handle::{BatchOwnerHandle, OwnedJob, RunningJob};
#[doc(inline)]
pub use batch_owners::BatchOwners;
#[doc(inline)]
pub use bounded_servers::{BoundedServers, ShareBasis};
#[doc(inline)]
pub use budgets::Budgets;
#[doc(inline)]
pub use crash_watch::CrashWatch;
#[doc(inline)]
pub use limit_tracker::LimitTracker;
#[doc(inline)]
pub use parts::GatewayParts;
#[doc(inline)]
pub use peer_pieces::PIECES_PATH;
#[doc(inline)]
pub use peer_server::{ALIVE_PATH, ask_alive, serve_peer};
pub(crate) use pieces::make_pieces;
#[doc(inline)]
pub use pieces::{MadePieces, PiecesError};
pub(crate) use server_uses::NoneUsable;
#[doc(inline)]
pub use service_prompt_times::ServicePromptTimes;
pub(crate) use single_run::SingleRun;
#[doc(inline)]
pub use stop_gate::{OpenRequest, StopGate};
#[doc(inline)]
pub use tell_crashes::{remove_outdated, tell_crashes};
#[doc(inline)]
pub use tell_limits::{forget_limits, tell_limits};
#[doc(inline)]
pub use tend_silent::tend_silent;

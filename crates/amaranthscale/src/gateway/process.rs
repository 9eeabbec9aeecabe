//! State with the life span of the process: the batch owners and what all requests share.

mod batch_calls;
mod batch_message;
mod batch_owner;
mod batch_owner_handle;
mod batch_owners;
mod buffer_memory;
mod crash_tracker;
mod engine_speeds;
mod first_event_estimators;
mod gateway_context;
mod limit_tracker;
mod monitor_loop_delay;
mod monitor_unresponsive;
mod moving_runs;
mod origin_saving;
mod origin_tracker;
mod peer_jobs;
mod peer_message;
mod peer_server;
mod publish_crashes;
mod publish_limits;
mod remove_stale_drains;
mod retained_results;
mod retry_budgets;
mod run_copies;
mod run_job;
mod send_permit;
mod send_shares;
mod server_selection;
mod shutdown_gate;
mod single_run;
mod speed_exchange;
mod stage_times;
mod statement_recorder;
mod version_tracker;

#[doc(inline)]
pub use batch_message::{BatchOwnerMessage, JobOutcome, JobSource, JobUpdate, Submission};
#[doc(inline)]
pub use batch_owner::{BatchOwner, BatchOwnerArguments};
#[doc(inline)]
pub use batch_owner_handle::{BatchOwnerHandle, JobGuard, RunningJob};
#[doc(inline)]
pub use batch_owners::BatchOwners;
#[doc(inline)]
pub use buffer_memory::{BufferMemory, BufferReservation};
#[doc(inline)]
pub use crash_tracker::CrashTracker;
pub(crate) use engine_speeds::EngineRunTimes;
#[doc(inline)]
pub use first_event_estimators::FirstEventEstimators;
#[doc(inline)]
pub use gateway_context::GatewayContext;
#[doc(inline)]
pub use limit_tracker::LimitTracker;
#[doc(inline)]
pub use monitor_loop_delay::monitor_loop_delay;
#[doc(inline)]
pub use monitor_unresponsive::monitor_unresponsive;
#[doc(inline)]
pub use moving_runs::{MovingRunGuard, MovingRuns};
pub(crate) use origin_saving::{remove_expired_origins, save_origins};
#[doc(inline)]
pub use origin_tracker::OriginTracker;
pub(crate) use origin_tracker::send_origins;
#[doc(inline)]
pub use peer_jobs::JOB_PATH;
#[doc(inline)]
pub use peer_server::{ALIVE_PATH, check_alive, serve_peer};
#[doc(inline)]
pub use publish_crashes::{publish_crashes, remove_expired_evidence};
#[doc(inline)]
pub use publish_limits::{publish_limits, remove_stale_limits};
#[doc(inline)]
pub use remove_stale_drains::remove_stale_drains;
#[doc(inline)]
pub use retry_budgets::RetryBudgets;
#[doc(inline)]
pub use run_copies::{EngineOverviews, HeldCopy, MovableRun, MoveEnd, PromptSources, RunBackups};
pub(crate) use run_job::run_job;
#[doc(inline)]
pub use run_job::{JobError, JobResults};
#[doc(inline)]
pub use send_permit::SendPermit;
#[doc(inline)]
pub use send_shares::{SendShares, ShareInputs};
pub(crate) use server_selection::NoServerAvailable;
#[doc(inline)]
pub use shutdown_gate::{OpenRequest, ShutdownGate};
pub(crate) use single_run::SingleRun;
#[doc(inline)]
pub use speed_exchange::{SPEEDS_PATH, exchange_speeds};
#[doc(inline)]
pub use stage_times::StageTimes;
#[doc(inline)]
pub use statement_recorder::StatementRecorder;
#[doc(inline)]
pub use version_tracker::{VersionTracker, VersionsInUse};
pub(crate) use version_tracker::{publish_versions, withdraw_versions};

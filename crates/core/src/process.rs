//! State that lives as long as its process.
//!
//! An entry makes its decisions with [`Router`], [`Admission`], [`OrganisationLimits`],
//! [`RetryBudget`] and [`HedgePolicy`]; a sidecar schedules with its [`FairQueue`] and reports load
//! with its [`LoadMeter`]. [`CostTracker`] and [`AttainmentTracker`] count the outcomes.

mod admission;
mod admission_settings;
mod allowed_zones;
mod attainment_counts;
mod attainment_tracker;
mod attempt_end;
mod batcher;
mod caller_intake;
mod cell;
mod cold_limits;
mod cold_times;
mod connection_admission;
mod connection_share;
mod cost_key;
mod cost_totals;
mod cost_tracker;
mod count;
mod engine_speed;
mod fair_queue;
mod fair_queue_limits;
mod fair_share;
mod first_event_estimator;
mod freshness;
mod hedge_policy;
mod host_tracker;
mod instance_view;
mod lag_detector;
mod load_meter;
mod load_snapshot;
mod organisation_limits;
mod origin_row;
mod origin_saver;
mod published_versions;
mod quarantine;
mod queued_attempt;
mod rank;
mod recent_maximum;
mod recent_results;
mod recent_sends;
mod refusal;
pub(crate) mod rendezvous;
mod reported_limits;
mod retry_budget;
mod router;
mod router_settings;
mod run_copies;
mod saved_origins;
mod send_share;
mod server_availability;
mod server_backoff;
mod server_drain;
mod server_drains;
mod server_limit;
mod server_list;
mod server_notices;
mod server_selector;
mod server_statement;
mod server_use;
mod shared_retry_budget;
mod stage_estimate;
mod stale_drains;
mod start_plan;
mod stream_fingerprint;
mod stream_origins;
mod version_binding;
mod zone_states;

#[doc(inline)]
pub use admission::Admission;
#[doc(inline)]
pub use admission_settings::AdmissionSettings;
#[doc(inline)]
pub use allowed_zones::AllowedZones;
#[doc(inline)]
pub use attainment_counts::AttainmentCounts;
#[doc(inline)]
pub use attainment_tracker::AttainmentTracker;
#[doc(inline)]
pub use attempt_end::AttemptEnd;
#[doc(inline)]
pub use batcher::{
    Batch, BatchEnd, BatchId, BatchItem, Batcher, Bound, DEFAULT_ENGINE_TIME, FreeRequest,
    JobEvent, JobFailure, JobId, JobRefusal, JobSpec, PieceEnd, PieceInput, ProbeEnd,
    RefusedForecast, RetainedResult, StageSpec, StageTimes,
};
#[doc(inline)]
pub use caller_intake::{CallerIntake, INTAKE_SAMPLE_INTERVAL};
#[doc(inline)]
pub use cell::Cell;
#[doc(inline)]
pub use cold_limits::{ColdAllowance, ColdLimits, ColdSpec};
#[doc(inline)]
pub use connection_admission::{Admitted, ConnectionAdmission, ConnectionId};
#[doc(inline)]
pub use connection_share::ConnectionShare;
#[doc(inline)]
pub use cost_key::CostKey;
#[doc(inline)]
pub use cost_totals::CostTotals;
#[doc(inline)]
pub use cost_tracker::{CostTracker, sum_by_organisation};
#[doc(inline)]
pub use engine_speed::{
    DecodeLoad, EngineEstimate, EnginePrompt, EngineRunId, EngineSamples, EngineSpeeds,
    InvalidSamples, PrefillSample, PromptHomes, SPEED_FORMAT, SpeedClass, SpeedCollector,
    SpeedReport, SpeedUpdate, SpeedVersion, StageTime,
};
#[doc(inline)]
pub use fair_queue::FairQueue;
#[doc(inline)]
pub use fair_queue_limits::FairQueueLimits;
#[doc(inline)]
pub use first_event_estimator::FirstEventEstimator;
#[doc(inline)]
pub use freshness::Freshness;
#[doc(inline)]
pub use hedge_policy::HedgePolicy;
#[doc(inline)]
pub use instance_view::{Announcement, InstanceView, StoreReader};
#[doc(inline)]
pub use lag_detector::{LagChange, LagDetector};
#[doc(inline)]
pub use load_meter::LoadMeter;
#[doc(inline)]
pub use load_snapshot::{LoadSnapshot, OptionalNumber};
#[doc(inline)]
pub use organisation_limits::OrganisationLimits;
#[doc(inline)]
pub use origin_row::{OriginRow, OriginRowId, StreamGroup};
#[doc(inline)]
pub use origin_saver::{OriginSave, OriginSaver};
#[doc(inline)]
pub use published_versions::{PublishedVersions, ServiceVersion};
#[doc(inline)]
pub use quarantine::{
    CrashEvidence, CrashReport, LossAction, LostRuns, Quarantine, QuarantineCause,
    QuarantineChange, QuarantineState, Suspect,
};
#[doc(inline)]
pub use queued_attempt::QueuedAttempt;
#[doc(inline)]
pub use rank::Rank;
#[doc(inline)]
pub use recent_maximum::RecentMaximum;
#[doc(inline)]
pub use recent_results::{AnswerOrigin, RecentResults};
#[doc(inline)]
pub use recent_sends::RecentSends;
#[doc(inline)]
pub use refusal::Refusal;
#[doc(inline)]
pub use reported_limits::ReportedLimits;
#[doc(inline)]
pub use retry_budget::RetryBudget;
#[doc(inline)]
pub use router::Router;
#[doc(inline)]
pub use router_settings::RouterSettings;
#[doc(inline)]
pub use run_copies::{
    BegunMove, CopyHandle, ElectiveRun, EngineOverview, MoveAnswer, MoveId, MoveOrder, MoveReason,
    MoveRegistry, PromptFetch, RecentPrefills, RunBackup, RunMove, StreamLosses,
};
#[doc(inline)]
pub use saved_origins::SavedOrigins;
#[doc(inline)]
pub use send_share::{SendRateLimit, SendShare};
#[doc(inline)]
pub use server_availability::{ServerAvailability, UsableServers};
#[doc(inline)]
pub use server_backoff::{InvalidServerBackoff, ServerBackoff};
#[doc(inline)]
pub use server_drain::{DrainChange, InvalidServerDrain, ServerDrain};
#[doc(inline)]
pub use server_limit::{InvalidServerLimit, ServerLimit};
#[doc(inline)]
pub use server_list::{EXPIRY_GRACE, ServerChange, ServerList, ServerRecord};
#[doc(inline)]
pub use server_selector::{HealthChange, SendEnd, SendingEntry, ServerLoad, ServerSelector};
#[doc(inline)]
pub use server_statement::ServerStatement;
#[doc(inline)]
pub use server_use::ServerUse;
#[doc(inline)]
pub use shared_retry_budget::{RetryBudgetSettings, RetryUse, SharedRetryBudget};
#[doc(inline)]
pub use stage_estimate::StageEstimate;
#[doc(inline)]
pub use stale_drains::{DRAIN_RETENTION, StaleDrains};
#[doc(inline)]
pub use start_plan::StartPlan;
#[doc(inline)]
pub use stream_fingerprint::StreamFingerprint;
#[doc(inline)]
pub use stream_origins::{StreamKey, StreamOrigin, StreamOrigins, origin_writer};
#[doc(inline)]
pub use version_binding::VersionBinding;
#[doc(inline)]
pub use zone_states::{ZoneChange, ZoneState};

//! What lives as long as its process.
//!
//! The parts an entry decides by are [`Router`], [`Admission`], [`OrganisationLimits`],
//! [`RetryBudget`] and [`HedgePolicy`]; a sidecar decides by its [`FairQueue`] and
//! reports by its [`LoadMeter`]. [`CostBook`] and
//! [`AttainmentBook`] count what came of it.

mod admission;
mod admission_settings;
mod attainment_book;
mod attainment_counts;
mod attempt_end;
mod backend_choice;
mod batcher;
mod cell;
mod cold_terms;
mod cold_times;
mod connection_share;
mod cost_book;
mod cost_key;
mod cost_totals;
mod count;
mod fair_queue;
mod fair_queue_limits;
mod fair_share;
mod freshness;
mod hedge_policy;
mod host_track;
mod instance_view;
mod keeping_up;
mod limit_words;
mod load_meter;
mod organisation_limits;
mod prompt_times;
mod quarantine;
mod queued_attempt;
mod rank;
mod recent_sends;
mod refusal;
pub(crate) mod rendezvous;
mod retry_budget;
mod router;
mod router_settings;
mod seen_load;
mod send_share;
mod server_limit;
mod server_list;
mod server_use;
mod shared_budget;
mod stage_estimate;
mod zone_uses;

#[doc(inline)]
pub use admission::Admission;
#[doc(inline)]
pub use admission_settings::AdmissionSettings;
#[doc(inline)]
pub use attainment_book::AttainmentBook;
#[doc(inline)]
pub use attainment_counts::AttainmentCounts;
#[doc(inline)]
pub use attempt_end::AttemptEnd;
#[doc(inline)]
pub use backend_choice::{BackendChoice, HealthChange, SendEnd, SendingEntry, ToldLoad};
#[doc(inline)]
pub use batcher::{
    Batch, BatchEnd, BatchId, BatchItem, Batcher, Frees, JobEvent, JobFailure, JobId, JobRefused,
    KeptPiece, PieceEnd, PieceInput, PipelineOrder, StageOrder, StageTimes, USUAL_ENGINE_TIME,
};
#[doc(inline)]
pub use cell::Cell;
#[doc(inline)]
pub use cold_terms::{ColdBounds, ColdSpec, ColdTerms};
#[doc(inline)]
pub use connection_share::ConnectionShare;
#[doc(inline)]
pub use cost_book::{CostBook, sum_by_organisation};
#[doc(inline)]
pub use cost_key::CostKey;
#[doc(inline)]
pub use cost_totals::CostTotals;
#[doc(inline)]
pub use fair_queue::FairQueue;
#[doc(inline)]
pub use fair_queue_limits::FairQueueLimits;
#[doc(inline)]
pub use freshness::Freshness;
#[doc(inline)]
pub use hedge_policy::HedgePolicy;
#[doc(inline)]
pub use instance_view::{Announcement, InstanceView, StoreReader};
#[doc(inline)]
pub use keeping_up::{KeepingUp, Pace};
#[doc(inline)]
pub use limit_words::LimitWords;
#[doc(inline)]
pub use load_meter::LoadMeter;
#[doc(inline)]
pub use organisation_limits::OrganisationLimits;
#[doc(inline)]
pub use prompt_times::PromptTimes;
#[doc(inline)]
pub use quarantine::{
    CrashEvidence, CrashReport, LossStep, LostRuns, Quarantine, QuarantineChange, Verdict,
};
#[doc(inline)]
pub use queued_attempt::QueuedAttempt;
#[doc(inline)]
pub use rank::Rank;
#[doc(inline)]
pub use recent_sends::RecentSends;
#[doc(inline)]
pub use refusal::Refusal;
#[doc(inline)]
pub use retry_budget::RetryBudget;
#[doc(inline)]
pub use router::Router;
#[doc(inline)]
pub use router_settings::RouterSettings;
#[doc(inline)]
pub use seen_load::{SeenLoad, SeenNumber};
#[doc(inline)]
pub use send_share::{SendBound, SendShare};
#[doc(inline)]
pub use server_limit::{InvalidServerLimit, ServerLimit};
#[doc(inline)]
pub use server_list::{LAPSE_GRACE, ServerChange, ServerList, ServerRecord};
#[doc(inline)]
pub use server_use::{ServerUse, UsableServers};
#[doc(inline)]
pub use shared_budget::{BudgetTerms, SharedBudget};
#[doc(inline)]
pub use stage_estimate::StageEstimate;
#[doc(inline)]
pub use zone_uses::{ZoneChange, ZoneState};

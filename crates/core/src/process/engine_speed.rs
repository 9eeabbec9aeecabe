//! Measured speed of engines, and what gateways exchange about it.
//!
//! Each gateway measures its own runs ([`EngineSpeeds`]) and posts the sums to one collector
//! ([`SpeedCollector`]), as a single gateway sees too few runs of an engine. The collector alone
//! assigns [`SpeedClass`]es, so that all gateways agree on the home engine of a shared prefix.

mod collected_engines;
mod decode_line;
mod decode_load;
mod engine_aggregate;
mod engine_cost;
mod engine_estimate;
mod engine_prompt;
mod engine_runs;
mod engine_samples;
mod engine_speeds;
mod prompt_homes;
mod speed_class;
mod speed_collector;
mod speed_message;
mod stage_time;

pub(super) use collected_engines::median;
#[doc(inline)]
pub use decode_load::DecodeLoad;
pub(super) use engine_cost::EngineCost;
#[doc(inline)]
pub use engine_estimate::EngineEstimate;
#[doc(inline)]
pub use engine_prompt::EnginePrompt;
#[doc(inline)]
pub use engine_runs::EngineRunId;
pub(super) use engine_runs::PROMPT_OVERHEAD_TOKENS;
#[doc(inline)]
pub use engine_samples::{EngineSamples, InvalidSamples, PrefillSample};
#[doc(inline)]
pub use engine_speeds::EngineSpeeds;
#[doc(inline)]
pub use prompt_homes::PromptHomes;
#[doc(inline)]
pub use speed_class::SpeedClass;
#[doc(inline)]
pub use speed_collector::SpeedCollector;
#[doc(inline)]
pub use speed_message::{SPEED_FORMAT, SpeedReport, SpeedUpdate, SpeedVersion};
#[doc(inline)]
pub use stage_time::StageTime;

/// Age from which samples and estimates are no longer used.
pub(super) const SPEED_LIFETIME: std::time::Duration = std::time::Duration::from_secs(10);

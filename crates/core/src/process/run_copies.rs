//! Copies of KV cache between engines: fetched parts of prompts, backups of runs and moves.

mod copy_handle;
mod elective_run;
mod engine_overview;
mod move_order;
mod move_reason;
mod move_registry;
mod prompt_fetch;
mod recent_prefills;
mod run_backup;
mod run_move;
mod stream_losses;

#[doc(inline)]
pub use copy_handle::{CopyHandle, MoveAnswer};
#[doc(inline)]
pub use elective_run::ElectiveRun;
#[doc(inline)]
pub use engine_overview::EngineOverview;
#[doc(inline)]
pub use move_order::MoveOrder;
#[doc(inline)]
pub use move_reason::MoveReason;
#[doc(inline)]
pub use move_registry::{BegunMove, MoveId, MoveRegistry};
#[doc(inline)]
pub use prompt_fetch::PromptFetch;
#[doc(inline)]
pub use recent_prefills::RecentPrefills;
#[doc(inline)]
pub use run_backup::RunBackup;
#[doc(inline)]
pub use run_move::RunMove;
#[doc(inline)]
pub use stream_losses::StreamLosses;

//! State of the copies of KV cache between engines.

mod movable_run;
mod move_choice;
mod prompt_sources;
mod run_backups;
mod run_moves;

#[doc(inline)]
pub use movable_run::MovableRun;
#[doc(inline)]
pub use move_choice::EngineOverviews;
#[doc(inline)]
pub use prompt_sources::PromptSources;
#[doc(inline)]
pub use run_backups::RunBackups;
#[doc(inline)]
pub use run_moves::{HeldCopy, MoveEnd};

//! Copies of KV cache between engines: fetched parts of prompts and backups of runs.

mod copy_handle;
mod prompt_fetch;
mod recent_prefills;
mod run_backup;
mod run_move;
mod stream_losses;

#[doc(inline)]
pub use copy_handle::{CopyHandle, MoveAnswer};
#[doc(inline)]
pub use prompt_fetch::PromptFetch;
#[doc(inline)]
pub use recent_prefills::RecentPrefills;
#[doc(inline)]
pub use run_backup::RunBackup;
#[doc(inline)]
pub use run_move::{ActiveMoves, RunMove};
#[doc(inline)]
pub use stream_losses::StreamLosses;

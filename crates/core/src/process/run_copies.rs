//! Copies of KV cache between engines: fetched parts of prompts and backups of runs.

mod prompt_fetch;
mod recent_prefills;
mod run_backup;
mod stream_losses;

#[doc(inline)]
pub use prompt_fetch::PromptFetch;
#[doc(inline)]
pub use recent_prefills::RecentPrefills;
#[doc(inline)]
pub use run_backup::RunBackup;
#[doc(inline)]
pub use stream_losses::StreamLosses;

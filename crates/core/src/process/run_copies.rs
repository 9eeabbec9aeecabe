//! Copies of KV cache between engines: fetched parts of prompts and backups of runs.

mod prompt_fetch;
mod recent_prefills;

#[doc(inline)]
pub use prompt_fetch::PromptFetch;
#[doc(inline)]
pub use recent_prefills::RecentPrefills;

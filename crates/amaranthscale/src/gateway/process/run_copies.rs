//! State of the copies of KV cache between engines.

mod prompt_sources;

#[doc(inline)]
pub use prompt_sources::PromptSources;

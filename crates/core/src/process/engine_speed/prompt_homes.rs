//! Engines that hold the shared parts of a request's prompt.

use crate::id::ServerIncarnation;

/// Engines that hold the shared parts of a request's prompt, as far as a gateway knows.
///
/// Computed once for each choice of an engine. The choice, the fetch, the samples of the run and its
/// expected times then agree on what an engine has cached.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptHomes {
    /// The engine to which all gateways send prompts with these parts.
    pub home: Option<ServerIncarnation>,
    /// The engine that was the home until engines' classes changed a while ago.
    pub previous: Option<ServerIncarnation>,
    /// The engine that would be the home without it; prompts that leave the home go there first.
    pub second: Option<ServerIncarnation>,
    /// Whether prompts leave their home for faster engines, so that the second one may hold the
    /// parts.
    pub is_uneven: bool,
    /// Whether prompts with these parts are split between the home and the second engine, which are
    /// then exchanged for half of them.
    pub is_split: bool,
    /// Engines that this gateway has seen prefill the parts within the last seconds, the latest first.
    pub recent: Vec<ServerIncarnation>,
}

impl PromptHomes {
    /// Whether an engine is the home.
    #[must_use]
    pub fn is_home(&self, engine: &ServerIncarnation) -> bool {
        self.home.as_ref() == Some(engine)
    }

    /// Whether an engine is likely to hold the parts.
    #[must_use]
    pub fn holds(&self, engine: &ServerIncarnation) -> bool {
        let is_second = self.is_split && self.second.as_ref() == Some(engine);
        self.is_home(engine) || is_second || self.recent.contains(engine)
    }

    /// Engines other than `engine` from which it may fetch the parts, the likeliest to hold them
    /// first.
    ///
    /// An engine that was seen to prefill the parts is preferred to the home, which may have
    /// restarted since. None if `engine` was seen to hold them. The home itself fetches from the
    /// engines to which prompts went before, as the parts would otherwise be prefilled again after
    /// each change of the home, and after a first prompt that left it.
    pub fn sources(&self, engine: &ServerIncarnation) -> impl Iterator<Item = &ServerIncarnation> {
        let is_held = self.recent.contains(engine);
        let second = self.second.iter();
        let second = second.filter(|_| self.is_uneven || self.is_split);
        let all = self
            .recent
            .iter()
            .chain(&self.home)
            .chain(&self.previous)
            .chain(second);
        all.filter(move |source| !is_held && *source != engine)
    }
}

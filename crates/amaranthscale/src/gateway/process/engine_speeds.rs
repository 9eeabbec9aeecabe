//! Measures the speed of engines by this gateway's runs, and describes prompts for a choice by it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    EnginePrompt, EngineRunId, PromptHomes, ServerRecord, ServerSelector, UsableServers,
};

use super::super::{Clock, Feature, RequestAttributes};
use super::GatewayContext;

/// Measures one run at an engine; the run counts there until this is dropped.
#[derive(Debug)]
pub struct EngineRunTimes {
    clock: Clock,
    server_selector: Arc<Mutex<ServerSelector>>,
    engine: ServerIncarnation,
    run: EngineRunId,
}

impl EngineRunTimes {
    /// Records that an event has arrived.
    pub(crate) fn record_event(&self) {
        let now = self.clock.now();
        self.change(|selector| {
            let speeds = selector.engine_speeds_mut();
            speeds.record_event(&self.engine, self.run, now);
        });
    }

    fn change(&self, change: impl FnOnce(&mut ServerSelector)) {
        let mut selector = self
            .server_selector
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        change(&mut selector);
    }
}

impl Drop for EngineRunTimes {
    fn drop(&mut self) {
        self.change(|selector| {
            let speeds = selector.engine_speeds_mut();
            speeds.end_run(&self.engine, self.run);
        });
    }
}

impl GatewayContext {
    /// A request's prompt for the choice by measured speed; `None` where the speed is not used.
    pub fn engine_prompt<'a>(
        &self,
        service: &ServiceId,
        attributes: &'a RequestAttributes,
        homes: &'a PromptHomes,
        max_event_gap: Option<Duration>,
    ) -> Option<EnginePrompt<'a>> {
        if !self.features.is_enabled(Feature::EngineSpeed) {
            return None;
        }
        let routing = self.cluster_view.routing()?;
        let engine = routing.pool(service)?.engine?;
        let fetch = engine
            .transfer
            .filter(|_| self.features.is_enabled(Feature::PromptFetch));
        let shared = attributes.shared_parts()?;
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        Some(EnginePrompt {
            shared_prefix: attributes.shared_prefix.as_deref()?,
            homes,
            tokens: attributes.prompt_tokens,
            shared_tokens: shared_tokens.min(attributes.prompt_tokens),
            acceptable_time: Duration::ZERO,
            time_left: Duration::ZERO,
            max_event_gap,
            fetch,
        })
    }

    /// Begins to measure a run that is about to be sent to an engine; `None` where the speed is not
    /// used.
    pub(crate) fn begin_engine_run(
        &self,
        engine: &ServerRecord,
        attributes: &RequestAttributes,
        homes: &PromptHomes,
    ) -> Option<EngineRunTimes> {
        let prompt = self.engine_prompt(&engine.service, attributes, homes, None)?;
        let now = self.cluster_view.clock().now();
        let mut selector = self.server_selector();
        let run = selector.begin_engine_run(engine, &prompt, now);
        drop(selector);
        Some(EngineRunTimes {
            clock: *self.cluster_view.clock(),
            server_selector: Arc::clone(&self.server_selector),
            engine: engine.incarnation.clone(),
            run,
        })
    }

    /// Expected time of an engine to the first event of a prompt; `None` where the speed is not used
    /// or the service's engines are equally fast.
    pub(crate) fn expected_first_event(
        &self,
        engine: &ServerRecord,
        prompt: &EnginePrompt<'_>,
    ) -> Option<Duration> {
        self.with_engines_in_use(&engine.service, |selector, usable, now| {
            selector.expected_first_event(engine, usable, prompt, now)
        })
    }

    /// As [`Self::expected_first_event`] for the log, also where the engines are equally fast.
    pub(crate) fn estimated_first_event(
        &self,
        engine: &ServerRecord,
        prompt: &EnginePrompt<'_>,
    ) -> Option<Duration> {
        self.with_engines_in_use(&engine.service, |selector, usable, now| {
            selector.estimated_first_event(engine, usable, prompt, now)
        })
    }

    fn with_engines_in_use<T>(
        &self,
        service: &ServiceId,
        read: impl FnOnce(&ServerSelector, &UsableServers<'_>, Duration) -> T,
    ) -> T {
        let servers = self.cluster_view.servers();
        let usable: UsableServers<'_> = servers.not_leaving(service).collect();
        let now = self.cluster_view.clock().now();
        read(&self.server_selector(), &usable, now)
    }
}

//! Chooses the engine from which another one fetches the shared parts of a prompt.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{
    AllowedZones, PromptFetch, PromptHomes, RecentPrefills, ServerRecord,
};
use amaranthscale_core::version::TransferSpec;

use super::super::super::{Feature, RequestAttributes};
use super::super::GatewayContext;

/// Engines that have recently prefilled shared prompt parts.
#[derive(Debug, Default)]
pub struct PromptSources {
    prefills: Mutex<RecentPrefills>,
}

impl PromptSources {
    /// Records that an engine has prefilled a part or had it cached.
    pub fn record(&self, part: &str, engine: &ServerIncarnation, now: Duration) {
        self.prefills().record(part, engine, now);
    }

    /// Engines that prefilled a part lately, the latest first.
    fn engines(&self, part: &str, now: Duration) -> Vec<ServerIncarnation> {
        self.prefills().engines(part, now).cloned().collect()
    }

    fn prefills(&self) -> MutexGuard<'_, RecentPrefills> {
        self.prefills.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayContext {
    /// How the engines of a service transfer KV cache, if they can.
    pub fn transfer_spec(&self, service: &ServiceId) -> Option<TransferSpec> {
        let routing = self.cluster_view.routing()?;
        routing.pool(service)?.engine?.transfer
    }

    /// Records that an engine has begun to answer a prompt, and so holds its shared parts.
    pub fn record_prefill(&self, attributes: &RequestAttributes, engine: &ServerIncarnation) {
        if let Some(part) = &attributes.shared_prefix
            && self.features.is_enabled(Feature::PromptFetch)
        {
            let now = self.cluster_view.clock().now();
            self.prompt_sources.record(part, engine, now);
        }
    }

    /// Engines that hold the shared parts of a prompt. All gateways have the same home for it as
    /// long as they may use the same engines, whatever each has sent to them.
    pub fn prompt_homes(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        attributes: &RequestAttributes,
    ) -> PromptHomes {
        let uses_homes = self.features.is_enabled(Feature::EngineSpeed)
            || self.features.is_enabled(Feature::PromptFetch);
        let routing = self.cluster_view.routing();
        let pool = routing.as_ref().and_then(|routing| routing.pool(service));
        let has_engines = pool.is_some_and(|pool| pool.engine.is_some());
        let part = attributes.shared_prefix.as_deref();
        let Some(part) = part.filter(|_| uses_homes && has_engines) else {
            return PromptHomes::default();
        };
        let servers = self.cluster_view.servers();
        let now = self.cluster_view.clock().now();
        let usable = self.usable_servers(&servers, service, zones, now);
        let recent = self.prompt_sources.engines(part, now);
        let may_split = self.features.is_enabled(Feature::EngineSpeed)
            && self.features.is_enabled(Feature::PromptFetch)
            && attributes.shared_tokens() > 0
            && self.transfer_spec(service).is_some();
        let mut server_selector = self.server_selector();
        let homes = server_selector.prompt_homes(&usable, part, recent, now);
        if !may_split {
            return homes;
        }
        let homes = server_selector.split_homes(homes, &usable, &attributes.call, now);
        drop(server_selector);
        if homes.is_split {
            self.counters.count("prompts.split");
        }
        homes
    }

    /// The engine from which `engine` should fetch the shared parts of a prompt; none if it holds
    /// them or prefills them nearly as fast.
    ///
    /// An engine that has just rejected the request as it is full still holds the parts.
    pub fn prompt_source(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        attributes: &RequestAttributes,
        homes: &PromptHomes,
        engine: &ServerRecord,
    ) -> Option<ServerRecord> {
        if !self.features.is_enabled(Feature::PromptFetch) {
            return None;
        }
        let transfer = self.transfer_spec(service)?;
        let fetch = self.prompt_fetch(service, attributes)?;
        if !fetch.is_worthwhile(&transfer) {
            return None;
        }
        let now = self.cluster_view.clock().now();
        let servers = self.cluster_view.servers();
        let server_selector = self.server_selector();
        let is_source = |server: &&ServerRecord| {
            let incarnation = &server.incarnation;
            server.service == *service
                && server.software_version == engine.software_version
                && zones.contains(&server.zone)
                && servers.availability(incarnation, None, now).is_usable()
                && !server_selector.is_failing(incarnation, now)
        };
        let sources = homes.sources(&engine.incarnation).filter_map(|source| {
            let mut all = servers.all();
            all.find(|server| server.incarnation == *source)
        });
        let mut usable = sources.filter(is_source);
        usable.next().cloned()
    }

    /// What a fetch saves; none before enough prompts of the service were timed.
    fn prompt_fetch(
        &self,
        service: &ServiceId,
        attributes: &RequestAttributes,
    ) -> Option<PromptFetch> {
        let tokens = attributes.shared_tokens();
        let own = attributes.prompt_tokens.checked_sub(tokens)?;
        let whole = self
            .first_event_estimators
            .expected(service, attributes.prompt_tokens)?;
        let without = self.first_event_estimators.expected(service, own)?;
        Some(PromptFetch {
            tokens,
            prefill_time: whole.saturating_sub(without),
        })
    }
}

//! Chooses the engine from which another one fetches the shared parts of a prompt.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{AllowedZones, PromptFetch, RecentPrefills, ServerRecord};
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

    /// The engine from which `engine` should fetch the shared parts of a prompt; none if it holds
    /// them or prefills them nearly as fast.
    ///
    /// An engine that this gateway has seen prefill the last shared part is preferred to the one
    /// that all gateways send such prompts to, which may have restarted since. An engine
    /// that has just rejected the request as it is full still holds the parts.
    pub fn prompt_source(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        attributes: &RequestAttributes,
        engine: &ServerRecord,
    ) -> Option<ServerRecord> {
        if !self.features.is_enabled(Feature::PromptFetch) {
            return None;
        }
        let part = attributes.shared_prefix.as_deref()?;
        let transfer = self.transfer_spec(service)?;
        let fetch = self.prompt_fetch(service, attributes)?;
        if !fetch.is_worthwhile(&transfer) {
            return None;
        }
        let now = self.cluster_view.clock().now();
        let engines: Vec<_> = self
            .prompt_sources
            .prefills()
            .engines(part, now)
            .cloned()
            .collect();
        if engines.contains(&engine.incarnation) {
            return None;
        }
        let servers = self.cluster_view.servers();
        let usable = self.usable_servers(&servers, service, zones, now);
        let server_selector = self.server_selector();
        let home = server_selector.prefix_home(&usable, part);
        let is_source = |server: &&ServerRecord| {
            let incarnation = &server.incarnation;
            server.service == *service
                && zones.contains(&server.zone)
                && *incarnation != engine.incarnation
                && servers.availability(incarnation, None, now).is_usable()
                && !server_selector.is_failing(incarnation, now)
        };
        let recent = engines.iter().filter_map(|incarnation| {
            servers
                .all()
                .find(|server| server.incarnation == *incarnation)
        });
        recent.chain(home).find(is_source).cloned()
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

//! Chooses the engine to which a run is copied while it grows.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::id::{ServerIncarnation, ServiceId};
use amaranthscale_core::process::{AllowedZones, RunBackup, ServerRecord, StreamLosses};

use super::super::super::{Feature, RequestAttributes};
use super::super::GatewayContext;

/// Recent ends of streams by service.
#[derive(Debug, Default)]
pub struct RunBackups {
    losses: Mutex<BTreeMap<ServiceId, StreamLosses>>,
}

impl RunBackups {
    /// Records the end of a stream and its time at the engine.
    pub fn record_end(
        &self,
        service: &ServiceId,
        engine_time: Duration,
        is_broken: bool,
        now: Duration,
    ) {
        let mut losses = self.losses();
        let of_service = losses.entry(service.clone()).or_default();
        of_service.record(engine_time, is_broken, now);
    }

    fn losses(&self) -> MutexGuard<'_, BTreeMap<ServiceId, StreamLosses>> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayContext {
    /// Whether an incarnation of a server may be sent to now.
    pub fn is_usable(&self, server: &ServerIncarnation) -> bool {
        let now = self.cluster_view.clock().now();
        let servers = self.cluster_view.servers();
        servers.availability(server, None, now).is_usable()
    }

    /// The engine to which a run at `engine` is copied; none if a copy costs more than it saves.
    ///
    /// A run that may be repeated loses only its prefill if it breaks.
    pub fn backup_target(
        &self,
        service: &ServiceId,
        zones: &AllowedZones,
        attributes: &RequestAttributes,
        may_repeat: bool,
        engine: &ServerRecord,
    ) -> Option<ServerRecord> {
        if !self.features.is_enabled(Feature::RunBackup) {
            return None;
        }
        let transfer = self.transfer_spec(service)?;
        if !transfer.can_back_up {
            return None;
        }
        let now = self.cluster_view.clock().now();
        let (broken_share, mean_engine_time) = {
            let losses = self.run_backups.losses();
            let of_service = losses.get(service)?;
            (
                of_service.broken_share(now),
                of_service.mean_engine_time(now),
            )
        };
        let prefill_time = self
            .first_event_estimators
            .expected(service, attributes.prompt_tokens)
            .unwrap_or_default();
        let lost_time = if may_repeat {
            prefill_time
        } else {
            mean_engine_time
        };
        let tokens = attributes
            .prompt_tokens
            .saturating_add(attributes.max_output_tokens);
        let backup = RunBackup {
            broken_share,
            lost_time,
            transfer_time: transfer.transfer_time(tokens),
            prefill_time,
            is_engine_failing: self.server_selector().is_failing(&engine.incarnation, now),
        };
        if !backup.is_worthwhile() {
            return None;
        }
        let servers = self.cluster_view.servers();
        let mut usable = self.usable_servers(&servers, service, zones, now);
        usable.retain(|server| server.software_version == engine.software_version);
        let server_selector = self.server_selector();
        let call = &attributes.call;
        RunBackup::target(usable.free, engine, call, &server_selector, now).cloned()
    }
}

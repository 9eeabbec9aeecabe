//! The one run at a time that a suspected request is allowed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthscale_core::id::{EvidenceId, InstanceId, RequestFingerprint, ServerIncarnation};
use amaranthscale_core::process::CrashEvidence;
use log::{info, warn};

use super::super::version::{write_store_if, write_store_until_taken};
use super::CrashWatch;

/// Time after a run that was cut off for which its claim stays: by then what it crashed is told.
const KEPT_AFTER_LOSS: Duration = Duration::from_secs(2);
/// Pause after a failed removal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A run that all gateways know of; the claim on it ends some time after this is dropped.
///
/// Until then it counts as a crash for the others. Guards against a gateway that ends in the middle of
/// the run: nobody else would know of the crash, and the request would be sent to more servers.
#[derive(Debug)]
pub(crate) struct SingleRun {
    id: EvidenceId,
    watch: Arc<CrashWatch>,
    has_completed: AtomicBool,
    /// Whether another gateway has the claim.
    is_taken: bool,
}

impl SingleRun {
    /// Claims the run of a request; none while another gateway has it.
    pub(super) async fn claim(
        watch: Arc<CrashWatch>,
        request: RequestFingerprint,
    ) -> Result<Option<Self>, String> {
        let id = claim_id(request);
        let mut evidence = CrashEvidence::default();
        evidence.add_crash(&stand_in(watch.instance())?, request);
        watch.claiming(&id);
        let claim = (watch.store().publish_evidence_if_absent)(&id, &evidence);
        let mut run = Self {
            id,
            watch,
            has_completed: AtomicBool::new(false),
            is_taken: false,
        };
        // A write without an answer may have been made: dropped, the run takes it back.
        if write_store_if(run.watch.store(), claim).await? {
            info!(fingerprint:% = request; "quarantine: single run");
            return Ok(Some(run));
        }
        run.is_taken = true;
        Ok(None)
    }

    /// Says that the run ended by itself.
    pub(crate) fn completed(&self) {
        self.has_completed.store(true, Ordering::Release);
    }
}

impl Drop for SingleRun {
    fn drop(&mut self) {
        if self.is_taken {
            self.watch.released(&self.id);
            return;
        }
        let (id, watch) = (self.id.clone(), Arc::clone(&self.watch));
        let kept = if self.has_completed.load(Ordering::Acquire) {
            Duration::ZERO
        } else {
            KEPT_AFTER_LOSS
        };
        tokio::spawn(async move {
            tokio::time::sleep(kept).await;
            let store = watch.store();
            let remove_evidence = || (store.remove_evidence)(&id);
            let failed =
                |reason: &str| warn!(evidence:% = id, reason; "quarantine: evidence not removed");
            write_store_until_taken(store, remove_evidence, RETRY_PAUSE, failed).await;
            watch.released(&id);
        });
    }
}

/// The name under which a request's single run is claimed, the same at all gateways.
fn claim_id(request: RequestFingerprint) -> EvidenceId {
    let name = format!("single.{request}");
    name.parse()
        .unwrap_or_else(|_error| unreachable!("a fingerprint makes a name"))
}

/// Stands for the server that a claimed run may crash.
fn stand_in(instance: &InstanceId) -> Result<ServerIncarnation, String> {
    let name = format!("single:{instance}");
    name.parse().map_err(|error| format!("{error}"))
}

//! The single run at a time that a suspected request is allowed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranthscale_core::id::EvidenceId;
use amaranthscale_core::process::{CrashEvidence, Suspect};
use log::{info, warn};

use super::super::version::{write_store_if, write_store_with_retry};
use super::CrashTracker;

/// Time for which a claim is retained after a lost run; by then evidence of a crash is published.
const CLAIM_RETENTION_AFTER_LOSS: Duration = Duration::from_secs(2);
/// Pause after a failed removal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A run claimed in the store; the claim is removed some time after this is dropped.
///
/// Until then it counts as a crash at the other gateways. Without it, if this gateway failed during
/// the run, no other gateway would learn of a crash, and the request would be sent to more servers.
#[derive(Debug)]
pub(crate) struct SingleRun {
    id: EvidenceId,
    tracker: Arc<CrashTracker>,
    has_completed: AtomicBool,
    /// Whether another gateway holds the claim.
    is_claimed_elsewhere: bool,
}

impl SingleRun {
    /// Claims the run of a suspect for all that the request is suspected for; `None` while another
    /// request holds the claim.
    pub(super) async fn claim(
        tracker: Arc<CrashTracker>,
        suspect: Suspect,
        claimed: Vec<Suspect>,
    ) -> Result<Option<Self>, String> {
        let id = claim_id(&suspect);
        let evidence = CrashEvidence {
            claimed,
            ..CrashEvidence::default()
        };
        if !tracker.add_own_claim(&id) {
            return Ok(None);
        }
        let claim = (tracker.store().publish_evidence_if_absent)(&id, &evidence);
        let mut run = Self {
            id,
            tracker,
            has_completed: AtomicBool::new(false),
            is_claimed_elsewhere: false,
        };
        // A write without an answer may have been applied; dropping the run removes the claim.
        if write_store_if(run.tracker.store(), claim).await? {
            info!(suspect:% = suspect; "quarantine: single run claimed");
            return Ok(Some(run));
        }
        run.is_claimed_elsewhere = true;
        Ok(None)
    }

    /// Records that the run completed.
    pub(crate) fn mark_completed(&self) {
        self.has_completed.store(true, Ordering::Release);
    }
}

impl Drop for SingleRun {
    fn drop(&mut self) {
        if self.is_claimed_elsewhere {
            self.tracker.remove_own_claim(&self.id);
            return;
        }
        let (id, tracker) = (self.id.clone(), Arc::clone(&self.tracker));
        let retention = if self.has_completed.load(Ordering::Acquire) {
            Duration::ZERO
        } else {
            CLAIM_RETENTION_AFTER_LOSS
        };
        tokio::spawn(async move {
            tokio::time::sleep(retention).await;
            let store = tracker.store();
            let remove_evidence = || (store.remove_evidence)(&id);
            let on_failure =
                |reason: &str| warn!(evidence:% = id, reason; "quarantine: evidence not removed");
            write_store_with_retry(store, remove_evidence, RETRY_PAUSE, on_failure).await;
            tracker.remove_own_claim(&id);
        });
    }
}

/// Id of the claim of a suspect's single run, the same at all gateways.
fn claim_id(suspect: &Suspect) -> EvidenceId {
    let name = format!("single.{suspect}");
    name.parse()
        .unwrap_or_else(|_error| unreachable!("a suspect forms a valid evidence id"))
}

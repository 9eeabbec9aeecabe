//! Writes of claim rows, for calls that may not be repeated.
//!
//! A call is claimed just before it is made and does not start until the claim is settled. A claim
//! that is not settled in time is abandoned by cancelling the row version that the attempt carries,
//! so that a delayed write fails its version check.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::{AttemptId, HostId, Incarnation, RowVersion};
use amaranthscale_core::request::{
    AttemptStatus, StoredResult, attempt_status, cancel_write, claim_write, finish_write,
    mark_unknown_write,
};
use amaranthscale_core::version::WriteStep;
use amaranthscale_core::wire::{CallFingerprint, ClaimTicket, Outcome, Row};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use log::{info, warn};

use crate::process::{Counters, PlatformClient, TableWrite, new_write_id};

/// Largest result stored in the row itself; hexadecimal doubles it, and rows are read often.
const MAX_INLINE_BYTES: usize = 32 * 1024;
/// Delay before storing an object is retried.
const OBJECT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a claim.
#[derive(Debug)]
pub(super) enum ClaimOutcome {
    /// The row is claimed and the call may be made.
    Won(Row),
    /// Another write has the row, or has replaced this claim.
    Lost,
    /// The table did not answer in time.
    Unavailable {
        /// Whether the claim may still take effect and has to be abandoned.
        may_take_effect: bool,
    },
}

/// Writes claim rows for one incarnation of a sidecar.
#[derive(Debug)]
pub(super) struct ClaimWriter {
    host: HostId,
    incarnation: Incarnation,
    platform: PlatformClient,
    counters: Arc<Counters>,
}

impl ClaimWriter {
    pub(super) const fn new(
        host: HostId,
        incarnation: Incarnation,
        platform: PlatformClient,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            host,
            incarnation,
            platform,
            counters,
        }
    }

    /// Claims the row version that an attempt carries.
    pub(super) async fn claim(
        &self,
        ticket: &ClaimTicket,
        attempt: AttemptId,
        timeout: Duration,
    ) -> ClaimOutcome {
        let (host, incarnation) = (self.host.clone(), self.incarnation);
        let write = claim_write(ticket, host, incarnation, attempt, new_write_id());
        let mut write = TableWrite::new(write);
        let settling = write.settle(&self.platform);
        match tokio::time::timeout(timeout, settling).await {
            Ok(WriteStep::Won { row }) => ClaimOutcome::Won(row),
            Ok(_settled) => ClaimOutcome::Lost,
            Err(_elapsed) => ClaimOutcome::Unavailable {
                may_take_effect: write.may_take_effect(),
            },
        }
    }

    /// Makes sure that an attempt never has its claim.
    ///
    /// The reply to a claim may be lost. Its caller is told "not run", and a claim that takes
    /// effect afterwards would show a call that is never made and may never be repeated. The row
    /// version that the claim needs is cancelled; if the claim took effect first, its row is freed.
    pub(super) async fn abandon(&self, ticket: &ClaimTicket, attempt: AttemptId) {
        let step = self.cancel(ticket, ticket.version).await;
        let row = match step {
            WriteStep::LostTo { row } | WriteStep::Undecided { row } => row,
            _ours => return,
        };
        if attempt_status(&row, attempt, ticket.version) == AttemptStatus::Claimed {
            self.counters.count("claim.late_effect");
            info!("sidecar: claim of {attempt} took effect late, freeing it");
            self.release(ticket, &row).await;
        }
    }

    /// Frees a claim that was won but whose call was not made.
    pub(super) async fn release(&self, ticket: &ClaimTicket, started: &Row) {
        let _ = self.cancel(ticket, started.version).await;
    }

    /// Stores the outcome of a call in its row.
    pub(super) async fn finish(
        &self,
        started: &Row,
        fingerprint: CallFingerprint,
        outcome: Outcome,
        result: Bytes,
    ) {
        if outcome.ran() == Ran::Unknown {
            let write = mark_unknown_write(started, fingerprint, new_write_id());
            self.record(TableWrite::new(write), outcome.code).await;
            return;
        }
        let result = self.store(started, result).await;
        let code = outcome.code;
        let write = finish_write(started, fingerprint, outcome, result, new_write_id());
        self.record(TableWrite::new(write), code).await;
    }

    async fn cancel(&self, ticket: &ClaimTicket, version: RowVersion) -> WriteStep {
        let (host, fingerprint) = (self.host.clone(), ticket.fingerprint);
        let write = cancel_write(&ticket.key, version, fingerprint, host, new_write_id());
        TableWrite::new(write).settle(&self.platform).await
    }

    async fn record(&self, mut write: TableWrite, code: ResultCode) {
        match write.settle(&self.platform).await {
            // An entry that assumed this sidecar to have failed has marked the call as unknown.
            WriteStep::LostTo { row } | WriteStep::Undecided { row } => {
                self.counters.count_reason("finish.lost", code.name());
                warn!(
                    "sidecar: outcome {code} not stored, {} was already closed",
                    row.key
                );
            }
            _recorded => {}
        }
    }

    /// Stores a result in the row, or in the object store if it is large.
    async fn store(&self, started: &Row, result: Bytes) -> StoredResult {
        if result.len() <= MAX_INLINE_BYTES {
            return StoredResult::Inline(result.to_vec());
        }
        // The key is unique to this claim, so a retry writes the same bytes.
        let key = format!("result/{}/{}", started.key, started.version);
        while let Err(error) = self.platform.put_object(&key, result.clone()).await {
            self.counters.count("finish.object_retry");
            warn!("sidecar: result {key} not stored, retrying: {error}");
            tokio::time::sleep(OBJECT_RETRY_DELAY).await;
        }
        StoredResult::Object(key)
    }
}

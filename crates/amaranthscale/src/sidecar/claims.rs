//! The claim rows of calls that may not be repeated.
//!
//! A claim is taken just before the call. Until it is settled the call does not start; what cannot
//! be settled in time is given up by cancelling the version that the attempt carries, so that a
//! write that takes effect late finds its version gone.

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

/// Largest result that goes into the row itself; hexadecimal doubles it, and rows are read often.
const MAX_INLINE_BYTES: usize = 32 * 1024;
/// Pause before an object that was not kept is sent again.
const OBJECT_PAUSE: Duration = Duration::from_secs(1);

/// What became of a claim.
#[derive(Debug)]
pub(super) enum ClaimAnswer {
    /// The call may be made; the row says so.
    Won(Row),
    /// Another write holds the row, or has replaced ours.
    Lost,
    /// The table gave no answer in time.
    Away {
        /// Whether the claim may still take effect and has to be given up.
        may_take_effect: bool,
    },
}

/// Moves claim rows on behalf of one life of a sidecar.
#[derive(Debug)]
pub(super) struct Claims {
    host: HostId,
    incarnation: Incarnation,
    platform: PlatformClient,
    counters: Arc<Counters>,
}

impl Claims {
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

    /// Claims the version that an attempt carries.
    pub(super) async fn claim(
        &self,
        ticket: &ClaimTicket,
        attempt: AttemptId,
        patience: Duration,
    ) -> ClaimAnswer {
        let (host, incarnation) = (self.host.clone(), self.incarnation);
        let write = claim_write(ticket, host, incarnation, attempt, new_write_id());
        let mut write = TableWrite::new(write);
        let settling = write.settle(&self.platform);
        match tokio::time::timeout(patience, settling).await {
            Ok(WriteStep::Won { row }) => ClaimAnswer::Won(row),
            Ok(_settled) => ClaimAnswer::Lost,
            Err(_elapsed) => ClaimAnswer::Away {
                may_take_effect: write.may_take_effect(),
            },
        }
    }

    /// Makes sure that an attempt never holds its claim.
    ///
    /// Guards against a claim whose answer was lost: its caller is told "not run", and a claim that
    /// takes effect afterwards would show as a call that nobody makes and nobody may repeat. The
    /// version that it needs is taken away; where the claim came first, its row is freed.
    pub(super) async fn abandon(&self, ticket: &ClaimTicket, attempt: AttemptId) {
        let step = self.cancel(ticket, ticket.version).await;
        let row = match step {
            WriteStep::LostTo { row } | WriteStep::Undecided { row } => row,
            _ours => return,
        };
        if attempt_status(&row, attempt, ticket.version) == AttemptStatus::Claimed {
            self.counters.count("claim.late_effect");
            info!("sidecar: claim of {attempt} took effect late and is freed");
            self.release(ticket, &row).await;
        }
    }

    /// Frees a claim that was won and whose call was not made.
    pub(super) async fn release(&self, ticket: &ClaimTicket, started: &Row) {
        let _ = self.cancel(ticket, started.version).await;
    }

    /// Keeps the outcome of a call in its row.
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
            // An entry that took this sidecar for gone has marked the call as unknown.
            WriteStep::LostTo { row } | WriteStep::Undecided { row } => {
                self.counters.count_reason("finish.lost", code.name());
                warn!("sidecar: outcome {code} not kept, {} was closed", row.key);
            }
            _recorded => {}
        }
    }

    /// Puts a result where the row can name it.
    async fn store(&self, started: &Row, result: Bytes) -> StoredResult {
        if result.len() <= MAX_INLINE_BYTES {
            return StoredResult::Inline(result.to_vec());
        }
        // The key is unique to this claim, and a repeat writes the same bytes.
        let key = format!("result/{}/{}", started.key, started.version);
        while let Err(error) = self.platform.put_object(&key, result.clone()).await {
            self.counters.count("finish.object_retry");
            warn!("sidecar: result {key} not kept yet: {error}");
            tokio::time::sleep(OBJECT_PAUSE).await;
        }
        StoredResult::Object(key)
    }
}

//! Handles the ends of calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::ResultHandle;
use crate::process::ServerLoad;

use super::job::PieceState;
use super::{
    BatchEnd, BatchId, Batcher, JobEvent, JobFailure, JobId, PieceEnd, PieceRef, RetainedResult,
    RunningBatch, RunningPiece,
};

/// Times that a job's inputs are recomputed before the job fails.
const MAX_RECOMPUTATIONS: u32 = 2;
/// Times that a job's pieces may fail before the job fails.
const MAX_FAILURES: u32 = 12;
/// Servers whose connections may be lost during a job's calls before the job fails.
const MAX_LOST_CONNECTIONS: usize = 3;
/// How long servers count as shared after another owner was detected.
const SHARED_PERIOD: Duration = Duration::from_millis(1_500);
/// Multiple of a call's expected time above which it seems to have waited at the server.
const SLOW_CALL_FACTOR: f64 = 1.4;
/// Fraction of another owner's calls that remains to be done when a server reports them.
const OTHER_CALLS_REMAINING: f64 = 0.7;
/// Time after which a server that rejected a call is tried again: a fraction of a call.
const REJECTED_PAUSE: Duration = Duration::from_millis(80);

impl Batcher {
    /// Records the end of a call, with the load that the server reported.
    pub fn batch_ended(
        &mut self,
        id: BatchId,
        end: BatchEnd,
        reported: Option<ServerLoad>,
        now: Duration,
    ) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        self.update_server(&batch, &end, now);
        self.detect_other_owner(&batch, &end, reported, now);
        if end == BatchEnd::ConnectionLost {
            self.record_connection_loss(&batch);
        }
        if matches!(end, BatchEnd::NoAnswer | BatchEnd::ConnectionLost)
            && let Some(pool) = self.pools.get_mut(&batch.service)
        {
            let bytes = batch.pieces.iter().map(|piece| piece.result_bytes).sum();
            pool.add_untracked(&batch.server, bytes, now);
        }
        let ends = match end {
            BatchEnd::Pieces(ends) if ends.len() == batch.pieces.len() => ends,
            BatchEnd::NotSent | BatchEnd::Rejected | BatchEnd::OtherServer => {
                for running in &batch.pieces {
                    self.requeue_piece(&batch, *running, false);
                    self.advance(running.piece.job, now);
                }
                return;
            }
            BatchEnd::Pieces(_) | BatchEnd::NoAnswer | BatchEnd::ConnectionLost => {
                vec![PieceEnd::Failed; batch.pieces.len()]
            }
        };
        let untracked_bytes = untracked_bytes(&batch, &ends);
        let mut affected: Vec<JobId> = Vec::new();
        let mut retained: BTreeMap<JobId, Vec<RetainedResult>> = BTreeMap::new();
        for (piece, end) in batch.pieces.iter().zip(ends) {
            if let PieceEnd::Completed(handle) = &end {
                let result = retained_result(&batch, piece.piece, handle);
                retained.entry(piece.piece.job).or_default().push(result);
            }
            self.piece_ended(&batch, *piece, end, now);
            if affected.last() != Some(&piece.piece.job) {
                affected.push(piece.piece.job);
            }
        }
        if let Some((bytes, pool)) = untracked_bytes.zip(self.pools.get_mut(&batch.service)) {
            pool.add_untracked(&batch.server, bytes, now);
        }
        let results = retained.into_iter();
        self.events
            .extend(results.map(|(job, results)| JobEvent::ResultsStored(job, results)));
        for job in affected {
            self.free_unneeded(job, now);
            self.advance(job, now);
        }
    }

    /// Records the server of a call whose connection was lost with each job in the call, and fails
    /// jobs that have lost connections to too many servers: one of their pieces may crash the
    /// servers.
    fn record_connection_loss(&mut self, batch: &RunningBatch) {
        let jobs: BTreeSet<_> = batch
            .pieces
            .iter()
            .map(|running| running.piece.job)
            .collect();
        for id in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.lost_connections_to.insert(batch.server.clone());
            let is_given_up = job.lost_connections_to.len() >= MAX_LOST_CONNECTIONS;
            let event = JobEvent::ConnectionLost(id, batch.server.clone(), batch.address);
            self.events.push(event);
            if is_given_up {
                self.fail(id, JobFailure::Failing);
            }
        }
    }

    fn update_server(&mut self, batch: &RunningBatch, end: &BatchEnd, now: Duration) {
        let Some(pool) = self.pools.get_mut(&batch.service) else {
            return;
        };
        let Some((spec, server)) = pool.spec.zip(pool.servers.get_mut(&batch.server)) else {
            return;
        };
        server.calls = server.calls.saturating_sub(1);
        server.busy_until = now;
        match end {
            BatchEnd::Pieces(_) => {
                let expected = spec.call_time_for(batch.pieces.len()).as_secs_f64();
                let elapsed = now.saturating_sub(batch.sent_at).as_secs_f64();
                server.record_answer(elapsed / expected.max(0.001), now);
            }
            // No loss: the server is leaving, unlisted or in an evacuated zone, or it was full.
            BatchEnd::NotSent | BatchEnd::Rejected => server.busy_until = now + REJECTED_PAUSE,
            BatchEnd::OtherServer | BatchEnd::NoAnswer | BatchEnd::ConnectionLost => {
                server.record_loss(now);
            }
        }
    }

    /// Detects calls of another owner at a server.
    ///
    /// Guards against two simultaneous owners, as after an owner's end or while the gateways' views
    /// differ: their calls would queue behind each other, and inputs that are freed on the
    /// assumption that a call starts at once would be missing when it does.
    fn detect_other_owner(
        &mut self,
        batch: &RunningBatch,
        end: &BatchEnd,
        reported: Option<ServerLoad>,
        now: Duration,
    ) {
        let other_calls = reported.map_or(0, |load| load.running + load.waiting);
        let is_missing = |end: &PieceEnd| *end == PieceEnd::InputMissing;
        let has_missing_input =
            matches!(end, BatchEnd::Pieces(ends) if ends.iter().any(is_missing));
        // A missing input alone may have other reasons; a call that waited in a queue is also slow.
        let has_waited = has_missing_input && self.was_slow(batch, now);
        if other_calls == 0 && !has_waited && *end != BatchEnd::Rejected {
            return;
        }
        self.shared_until = now + SHARED_PERIOD;
        let Some(pool) = self.pools.get_mut(&batch.service) else {
            return;
        };
        if let Some((spec, server)) = pool.spec.zip(pool.servers.get_mut(&batch.server)) {
            let call = spec.call_time_for(spec.max_pieces / 2);
            let ahead = call
                .saturating_mul(other_calls)
                .mul_f64(OTHER_CALLS_REMAINING);
            server.busy_until = server.busy_until.max(now + ahead);
        }
    }

    fn was_slow(&self, batch: &RunningBatch, now: Duration) -> bool {
        let spec = self.pools.get(&batch.service).and_then(|pool| pool.spec);
        spec.is_some_and(|spec| {
            let expected = spec.call_time_for(batch.pieces.len());
            now.saturating_sub(batch.sent_at) > expected.mul_f64(SLOW_CALL_FACTOR)
        })
    }

    fn piece_ended(
        &mut self,
        batch: &RunningBatch,
        running: RunningPiece,
        end: PieceEnd,
        now: Duration,
    ) {
        let piece = running.piece;
        match end {
            PieceEnd::Completed(handle) => {
                let piece_state = PieceState::Completed {
                    handle,
                    server: batch.server.clone(),
                    address: batch.address,
                };
                self.complete_piece(batch, running, piece_state, now);
            }
            PieceEnd::Late => {
                self.release_reservation(batch, running);
                self.fail(piece.job, JobFailure::Late);
            }
            PieceEnd::StorageFull => self.requeue_piece(batch, running, false),
            PieceEnd::Failed => self.requeue_piece(batch, running, true),
            PieceEnd::InputMissing => {
                self.requeue_piece(batch, running, true);
                self.discard_inputs(piece);
            }
        }
    }

    fn complete_piece(
        &mut self,
        batch: &RunningBatch,
        running: RunningPiece,
        piece_state: PieceState,
        now: Duration,
    ) {
        let piece = running.piece;
        if let Some(job) = self.jobs.get_mut(&piece.job) {
            let stage = &mut job.stages[piece.stage];
            if stage.pieces[piece.piece] == PieceState::Running {
                stage.pieces[piece.piece] = piece_state;
                stage.timestamps.completed_at = now;
                return;
            }
        }
        // The job was released, or the piece was computed elsewhere: no one else will free this
        // result.
        self.free_piece(&batch.service, running.result_bytes, &piece_state);
    }

    /// Releases a piece's reservation at a server and queues the piece again.
    fn requeue_piece(&mut self, batch: &RunningBatch, running: RunningPiece, has_failed: bool) {
        self.release_reservation(batch, running);
        let piece = running.piece;
        let Some(job) = self.jobs.get_mut(&piece.job) else {
            return;
        };
        let stage = &mut job.stages[piece.stage];
        if stage.pieces[piece.piece] != PieceState::Running {
            return;
        }
        stage.pieces[piece.piece] = PieceState::Waiting;
        job.failures += u32::from(has_failed);
        if job.is_reported {
            return;
        }
        if job.failures > MAX_FAILURES {
            self.fail(piece.job, JobFailure::Failing);
        }
    }

    fn release_reservation(&mut self, batch: &RunningBatch, running: RunningPiece) {
        if let Some(pool) = self.pools.get_mut(&batch.service) {
            pool.release(&batch.server, running.result_bytes);
        }
    }

    /// Discards the results that a piece depends on, so that they are recomputed.
    ///
    /// Guards against a server that dies with results that later stages need: their pieces would
    /// fail for ever. The answer does not tell which result is missing, so all of them are
    /// discarded, unless some are being recomputed already.
    fn discard_inputs(&mut self, piece: PieceRef) {
        let Some(job) = self.jobs.get(&piece.job) else {
            return;
        };
        if job.is_reported || !job.has_inputs(piece.stage) {
            return;
        }
        for index in job.stages[piece.stage].spec.depends_on.clone() {
            self.free_stage(piece.job, index);
        }
    }

    /// Makes lost results be recomputed that waiting pieces of a job depend on; fails the job if
    /// that has happened too often.
    pub(super) fn recompute_lost_inputs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_reported || !job.requeue_lost_inputs() {
            return;
        }
        job.recomputations += 1;
        if job.recomputations > MAX_RECOMPUTATIONS {
            self.fail(id, JobFailure::Failing);
        }
    }
}

fn retained_result(batch: &RunningBatch, piece: PieceRef, handle: &ResultHandle) -> RetainedResult {
    RetainedResult {
        stage: piece.stage,
        piece: piece.piece,
        handle: handle.clone(),
        server: batch.server.clone(),
        address: batch.address,
        age: Duration::ZERO,
    }
}

/// Storage that turned out to be occupied if a call found too little of it. Only what was free when
/// the call began is in doubt: the call filled a part of it, and storage that was freed since is
/// known to be free.
fn untracked_bytes(batch: &RunningBatch, ends: &[PieceEnd]) -> Option<u64> {
    if !ends.contains(&PieceEnd::StorageFull) {
        return None;
    }
    let pieces = batch.pieces.iter().zip(ends);
    let completed = pieces.filter(|(_, end)| matches!(end, PieceEnd::Completed(_)));
    let completed_bytes = completed.map(|(piece, _)| piece.result_bytes).sum();
    Some(batch.free_bytes.saturating_sub(completed_bytes))
}

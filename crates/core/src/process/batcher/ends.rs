//! Takes the ends of calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::ResultHandle;
use crate::process::ServerLoad;

use super::job::PieceState;
use super::{
    BatchEnd, BatchId, Batcher, JobEvent, JobFailure, JobId, PieceEnd, PieceRef, RetainedResult,
    RunningBatch, RunningPiece,
};

/// Times that a job's inputs are made anew before it is given up.
const MOST_REMAKES: u32 = 2;
/// Times that a job's pieces may fail before it is given up.
const MOST_FAILURES: u32 = 12;
/// Servers at which a job's calls may be cut off before it is given up.
const MOST_CUT_OFF: usize = 3;
/// How long servers count as shared after a sign of another owner.
const SHARED_FOR: Duration = Duration::from_millis(1_500);
/// Times the expected time from which a call seems to have waited for its turn.
const WAITED_FACTOR: f64 = 1.4;
/// Part of another owner's calls that is still to be done when they are told.
const OTHERS_LEFT: f64 = 0.7;
/// Time after which a server that was full is tried again: a part of a call.
const FULL_PAUSE: Duration = Duration::from_millis(80);

impl Batcher {
    /// Takes the end of a call.
    pub fn batch_ended(
        &mut self,
        id: BatchId,
        end: BatchEnd,
        told: Option<ServerLoad>,
        now: Duration,
    ) {
        let Some(batch) = self.batches.remove(&id) else {
            return;
        };
        self.account_server(&batch, &end, now);
        self.account_others(&batch, &end, told, now);
        if end == BatchEnd::ConnectionLost {
            self.note_cut_off(&batch);
        }
        if matches!(end, BatchEnd::NoAnswer | BatchEnd::ConnectionLost)
            && let Some(pool) = self.pools.get_mut(&batch.service)
        {
            let bytes = batch.pieces.iter().map(|piece| piece.result_bytes).sum();
            pool.note_unknown(&batch.server, bytes, now);
        }
        let ends = match end {
            BatchEnd::Pieces(ends) if ends.len() == batch.pieces.len() => ends,
            BatchEnd::NotSent | BatchEnd::Rejected | BatchEnd::OtherServer => {
                for running in &batch.pieces {
                    self.wait_again(&batch, *running, false, now);
                    self.place_in_queues(running.piece.job);
                }
                return;
            }
            BatchEnd::Pieces(_) | BatchEnd::NoAnswer | BatchEnd::ConnectionLost => {
                vec![PieceEnd::Failed; batch.pieces.len()]
            }
        };
        let unknown_bytes = unknown_bytes(&batch, &ends);
        let mut touched: Vec<JobId> = Vec::new();
        let mut kept: BTreeMap<JobId, Vec<RetainedResult>> = BTreeMap::new();
        for (piece, end) in batch.pieces.iter().zip(ends) {
            if let PieceEnd::Completed(handle) = &end {
                let made = kept_piece(&batch, piece.piece, handle);
                kept.entry(piece.piece.job).or_default().push(made);
            }
            self.piece_ended(&batch, *piece, end, now);
            if touched.last() != Some(&piece.piece.job) {
                touched.push(piece.piece.job);
            }
        }
        if let Some((bytes, pool)) = unknown_bytes.zip(self.pools.get_mut(&batch.service)) {
            pool.note_unknown(&batch.server, bytes, now);
        }
        let made = kept.into_iter();
        self.events
            .extend(made.map(|(job, pieces)| JobEvent::ResultsStored(job, pieces)));
        for job in touched {
            self.free_used(job, now);
            self.advance(job, now);
        }
    }

    /// Notes the server of a call that was cut off with each job in it, and gives up those that were cut
    /// off at too many servers: one of their pieces may be what ends them.
    fn note_cut_off(&mut self, batch: &RunningBatch) {
        let jobs: BTreeSet<_> = batch
            .pieces
            .iter()
            .map(|running| running.piece.job)
            .collect();
        for id in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.cut_off_at.insert(batch.server.clone());
            let is_given_up = job.cut_off_at.len() >= MOST_CUT_OFF;
            let told = JobEvent::ConnectionLost(id, batch.server.clone(), batch.address);
            self.events.push(told);
            if is_given_up {
                self.fail(id, JobFailure::Failing);
            }
        }
    }

    fn account_server(&mut self, batch: &RunningBatch, end: &BatchEnd, now: Duration) {
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
                server.answered(elapsed / expected.max(0.001), now);
            }
            // Its entry or its zone says why; the next list of servers leaves it out.
            BatchEnd::NotSent | BatchEnd::Rejected => server.busy_until = now + FULL_PAUSE,
            BatchEnd::OtherServer | BatchEnd::NoAnswer | BatchEnd::ConnectionLost => {
                server.lost(now);
            }
        }
    }

    /// Notes the calls of another owner at a server.
    ///
    /// Guards against two owners at once, as after an owner's end or while the gateways' views
    /// differ: their calls would queue behind each other, and inputs that are freed as if a call
    /// began at once would be gone when its turn comes.
    fn account_others(
        &mut self,
        batch: &RunningBatch,
        end: &BatchEnd,
        told: Option<ServerLoad>,
        now: Duration,
    ) {
        let others = told.map_or(0, |told| told.running + told.waiting);
        let is_gone = |end: &PieceEnd| *end == PieceEnd::InputMissing;
        let has_gone = matches!(end, BatchEnd::Pieces(ends) if ends.iter().any(is_gone));
        // A single result may be gone for other reasons; a call that waited for its turn is slow.
        let has_waited = has_gone && self.was_slow(batch, now);
        if others == 0 && !has_waited && *end != BatchEnd::Rejected {
            return;
        }
        self.shared_until = now + SHARED_FOR;
        let Some(pool) = self.pools.get_mut(&batch.service) else {
            return;
        };
        if let Some((spec, server)) = pool.spec.zip(pool.servers.get_mut(&batch.server)) {
            let call = spec.call_time_for(spec.max_pieces / 2);
            let ahead = call.saturating_mul(others).mul_f64(OTHERS_LEFT);
            server.busy_until = server.busy_until.max(now + ahead);
        }
    }

    fn was_slow(&self, batch: &RunningBatch, now: Duration) -> bool {
        let spec = self.pools.get(&batch.service).and_then(|pool| pool.spec);
        spec.is_some_and(|spec| {
            let expected = spec.call_time_for(batch.pieces.len());
            now.saturating_sub(batch.sent_at) > expected.mul_f64(WAITED_FACTOR)
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
                let made = PieceState::Made {
                    handle,
                    server: batch.server.clone(),
                    address: batch.address,
                };
                self.made(batch, running, made, now);
            }
            PieceEnd::Late => {
                self.drop_reservation(batch, running);
                self.fail(piece.job, JobFailure::Late);
            }
            PieceEnd::StorageFull => self.wait_again(batch, running, false, now),
            PieceEnd::Failed => self.wait_again(batch, running, true, now),
            PieceEnd::InputMissing => {
                self.put_back(batch, running, true);
                self.remake_inputs(piece, now);
            }
        }
    }

    fn made(
        &mut self,
        batch: &RunningBatch,
        running: RunningPiece,
        made: PieceState,
        now: Duration,
    ) {
        let piece = running.piece;
        if let Some(job) = self.jobs.get_mut(&piece.job) {
            let stage = &mut job.stages[piece.stage];
            if stage.pieces[piece.piece] == PieceState::Running {
                stage.pieces[piece.piece] = made;
                stage.clock.made_at = now;
                return;
            }
        }
        // The request has left, or its piece was made elsewhere: nobody will free this result.
        self.free_piece(&batch.service, running.result_bytes, &made);
    }

    /// Gives up a piece's place at a server and lets it wait again.
    fn put_back(&mut self, batch: &RunningBatch, running: RunningPiece, has_failed: bool) {
        self.drop_reservation(batch, running);
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
        if job.failures > MOST_FAILURES {
            self.fail(piece.job, JobFailure::Failing);
        }
    }

    fn drop_reservation(&mut self, batch: &RunningBatch, running: RunningPiece) {
        if let Some(pool) = self.pools.get_mut(&batch.service) {
            pool.give_back(&batch.server, running.result_bytes);
        }
    }

    /// Lets a piece wait again; what it needs is made anew if it was freed for the ended call.
    fn wait_again(
        &mut self,
        batch: &RunningBatch,
        running: RunningPiece,
        has_failed: bool,
        now: Duration,
    ) {
        self.put_back(batch, running, has_failed);
        if self.has_freed_inputs(running.piece) {
            self.remake_inputs(running.piece, now);
        }
    }

    pub(super) fn has_freed_inputs(&self, piece: PieceRef) -> bool {
        self.jobs.get(&piece.job).is_some_and(|job| {
            let after = &job.stages[piece.stage].order.depends_on;
            after
                .iter()
                .any(|index| job.stages[*index].has_lost_results())
        })
    }

    /// Makes the results that a piece needs once more.
    ///
    /// Guards against a server that dies with results which later stages need: their pieces would
    /// fail for ever. The answer does not say which result is gone, so all of them are made anew.
    pub(super) fn remake_inputs(&mut self, piece: PieceRef, now: Duration) {
        let Some(job) = self.jobs.get_mut(&piece.job) else {
            return;
        };
        let remade = job.stages_to_remake(piece.stage);
        if remade.iter().any(|index| !job.stages[*index].is_done()) {
            return;
        }
        job.remakes += 1;
        if job.remakes > MOST_REMAKES {
            self.fail(piece.job, JobFailure::Failing);
            return;
        }
        job.stages[piece.stage].is_queued = false;
        let mut freed = Vec::new();
        for index in remade {
            let stage = &mut job.stages[index];
            self.events.push(JobEvent::ResultsDropped(piece.job, index));
            let waiting = vec![PieceState::Waiting; stage.pieces.len()];
            let made = std::mem::replace(&mut stage.pieces, waiting);
            stage.is_queued = false;
            if !std::mem::take(&mut stage.is_freed) {
                freed.push((stage.order.service.clone(), stage.order.result_bytes, made));
            }
        }
        for (service, result_bytes, pieces) in freed {
            for made in &pieces {
                self.free_piece(&service, result_bytes, made);
            }
        }
        self.advance(piece.job, now);
    }
}

fn kept_piece(batch: &RunningBatch, piece: PieceRef, handle: &ResultHandle) -> RetainedResult {
    RetainedResult {
        stage: piece.stage,
        piece: piece.piece,
        handle: handle.clone(),
        server: batch.server.clone(),
        address: batch.address,
        age: Duration::ZERO,
    }
}

/// Room that a call found taken, if it found too little: what was free when it began is what it
/// could fill, and no more, and what became free since is known to be free.
fn unknown_bytes(batch: &RunningBatch, ends: &[PieceEnd]) -> Option<u64> {
    if !ends.contains(&PieceEnd::StorageFull) {
        return None;
    }
    let pieces = batch.pieces.iter().zip(ends);
    let made = pieces.filter(|(_, end)| matches!(end, PieceEnd::Completed(_)));
    let made_bytes = made.map(|(piece, _)| piece.result_bytes).sum();
    Some(batch.free_bytes.saturating_sub(made_bytes))
}

//! Results that were computed under an earlier batch owner.
//!
//! An owner reports to each request's gateway which results are stored and which are freed. When
//! the owner ends, the gateway passes the remaining results to the next one, which reserves their
//! storage and computes only the missing pieces. If the pieces were recomputed, they would miss
//! their target latency, and the first results would fill the servers until they expire.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::PieceState;
use super::{Batcher, JobId, JobSpec, StageSpec};
use crate::id::{ResultHandle, ServerIncarnation};

/// Remaining retention that a result must have: two calls, so that it is read before it expires.
const MIN_REMAINING_RETENTION: Duration = Duration::from_millis(600);

/// One result that a server retains.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedResult {
    /// Index of the stage in its route.
    pub stage: usize,
    /// Index of the piece within the stage.
    pub piece: usize,
    /// Handle of the result.
    pub handle: ResultHandle,
    /// Incarnation of the server that stores it.
    pub server: ServerIncarnation,
    /// Where that server listens.
    pub address: SocketAddr,
    /// Time since it was computed.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

impl Batcher {
    /// Removes retained results from a spec that cannot be used any more.
    pub(super) fn retain_usable(&self, spec: &mut JobSpec) {
        let mut retained = std::mem::take(&mut spec.retained);
        retained.retain(|piece| {
            let stage = spec.stages.get(piece.stage);
            stage.is_some_and(|stage| piece.piece < stage.pieces && self.is_usable(piece, stage))
        });
        retained.sort_by_key(|piece| (piece.stage, piece.piece));
        retained.dedup_by_key(|piece| (piece.stage, piece.piece));
        spec.retained = retained;
    }

    fn is_usable(&self, piece: &RetainedResult, stage: &StageSpec) -> bool {
        let Some(pool) = self.pools.get(&stage.service) else {
            return false;
        };
        let retention = pool
            .spec
            .map_or(Duration::ZERO, |spec| spec.result_retention);
        pool.servers.contains_key(&piece.server) && piece.age + MIN_REMAINING_RETENTION <= retention
    }

    /// Adds retained results to a new job and reserves their storage.
    pub(super) fn adopt_retained(&mut self, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.spec.retained.is_empty() {
            return;
        }
        let remaining = remaining_pieces(&job.spec);
        for retained in std::mem::take(&mut job.spec.retained) {
            let stage = &mut job.stages[retained.stage];
            if let Some(pool) = self.pools.get_mut(&stage.spec.service) {
                pool.reserve(&retained.server, stage.spec.result_bytes);
            }
            stage.pieces[retained.piece] = PieceState::Completed {
                handle: retained.handle,
                server: retained.server,
                address: retained.address,
            };
            stage.timestamps.sent_at = Some(now);
            stage.timestamps.last_sent_at = now;
            stage.timestamps.completed_at = now;
        }
        job.discard_read_stages(&remaining, now);
        job.commit_if_mostly_completed(now);
    }
}

/// Number of pieces of each stage that are still to be computed, given the retained results.
///
/// A stage whose results were all read needs none: the stages after it are completed.
pub(super) fn remaining_pieces(spec: &JobSpec) -> Vec<usize> {
    let mut remaining: Vec<_> = spec.stages.iter().map(|stage| stage.pieces).collect();
    for retained in &spec.retained {
        remaining[retained.stage] = remaining[retained.stage].saturating_sub(1);
    }
    for index in (0..remaining.len()).rev() {
        let stages = spec.stages.iter().enumerate();
        let mut dependents = stages
            .filter(|(_, stage)| stage.depends_on.contains(&index))
            .peekable();
        let is_completed =
            |(later, stage): (usize, &StageSpec)| stage.pieces > 0 && remaining[later] == 0;
        if dependents.peek().is_some() && dependents.all(is_completed) {
            remaining[index] = 0;
        }
    }
    remaining
}

//! Results that an earlier owner of the batches had made.
//!
//! An owner tells each request's gateway what is made and what is freed again. When the owner ends,
//! the gateway hands what is left to the next one, which takes it into its account of room and makes
//! only what is missing. Made anew, the pieces would come after their aim, and the first ones would
//! fill the servers until they lapse.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::PieceState;
use super::{Batcher, JobId, JobSpec, StageSpec};
use crate::id::{ResultHandle, ServerIncarnation};

/// Time that a kept result must have left: two calls, so that it is read before it lapses.
const LEAST_LEFT: Duration = Duration::from_millis(600);

/// One result that a server keeps.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedResult {
    /// Stage of its route.
    pub stage: usize,
    /// Number of the piece within the stage.
    pub piece: usize,
    /// Its name.
    pub handle: ResultHandle,
    /// The life of the server that keeps it.
    pub server: ServerIncarnation,
    /// Where that server listens.
    pub address: SocketAddr,
    /// Time since it was made.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

impl Batcher {
    /// Leaves those results in an order that can still be used here.
    pub(super) fn keep_usable(&self, order: &mut JobSpec) {
        let mut kept = std::mem::take(&mut order.retained);
        kept.retain(|piece| {
            let stage = order.stages.get(piece.stage);
            stage.is_some_and(|stage| piece.piece < stage.pieces && self.is_usable(piece, stage))
        });
        kept.sort_by_key(|piece| (piece.stage, piece.piece));
        kept.dedup_by_key(|piece| (piece.stage, piece.piece));
        order.retained = kept;
    }

    fn is_usable(&self, piece: &RetainedResult, stage: &StageSpec) -> bool {
        let Some(pool) = self.pools.get(&stage.service) else {
            return false;
        };
        let kept_for = pool
            .spec
            .map_or(Duration::ZERO, |spec| spec.result_retention);
        pool.servers.contains_key(&piece.server) && piece.age + LEAST_LEFT <= kept_for
    }

    /// Takes kept results into a new job and into the account of room.
    pub(super) fn take_kept(&mut self, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.order.retained.is_empty() {
            return;
        }
        let open = open_pieces(&job.order);
        for kept in std::mem::take(&mut job.order.retained) {
            let stage = &mut job.stages[kept.stage];
            if let Some(pool) = self.pools.get_mut(&stage.order.service) {
                pool.reserve(&kept.server, stage.order.result_bytes);
            }
            stage.pieces[kept.piece] = PieceState::Made {
                handle: kept.handle,
                server: kept.server,
                address: kept.address,
            };
            stage.clock.sent_at = Some(now);
            stage.clock.last_sent_at = now;
            stage.clock.made_at = now;
        }
        job.pass_over_read_stages(&open, now);
        job.commit_if_mostly_made(now);
    }
}

/// Pieces of each stage that are still to be made, where some results are kept.
///
/// A stage whose results were all read needs none: the stages after it are made.
pub(super) fn open_pieces(order: &JobSpec) -> Vec<usize> {
    let mut open: Vec<_> = order.stages.iter().map(|stage| stage.pieces).collect();
    for kept in &order.retained {
        open[kept.stage] = open[kept.stage].saturating_sub(1);
    }
    for index in (0..open.len()).rev() {
        let stages = order.stages.iter().enumerate();
        let mut needing = stages
            .filter(|(_, stage)| stage.depends_on.contains(&index))
            .peekable();
        let is_made = |(later, stage): (usize, &StageSpec)| stage.pieces > 0 && open[later] == 0;
        if needing.peek().is_some() && needing.all(is_made) {
            open[index] = 0;
        }
    }
    open
}

//! Handles the restart of a server under its id.
//!
//! A restarted server has none of its earlier results. If the reservations, calls and results of
//! the earlier incarnation counted for the new one, its storage would stay reserved for ever, calls
//! would name results that do not exist, and results that were never computed would be freed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::PieceState;
use super::{BatchEnd, Batcher, JobId};
use crate::id::{ServerId, ServerIncarnation};

/// The listed incarnation of each server.
pub(super) type ListedIncarnations = BTreeMap<ServerId, ServerIncarnation>;

fn is_replaced(incarnation: &ServerIncarnation, listed: &ListedIncarnations) -> bool {
    let current = listed.get(incarnation.id());
    current.is_some_and(|other| other.replaces(incarnation))
}

impl Batcher {
    /// Ends the calls and drops the results of incarnations that were replaced.
    ///
    /// A server that is only missing from the list may still serve its results, so they are used
    /// until a reader finds them gone.
    pub(super) fn end_replaced_incarnations(&mut self, listed: &ListedIncarnations, now: Duration) {
        self.free_requests
            .retain(|incarnation, _| !is_replaced(incarnation, listed));
        let running = self.batches.iter();
        let lost = running.filter(|(_, batch)| is_replaced(&batch.server, listed));
        let lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            // The call itself may end much later, as behind a network partition; its outcome is
            // ignored.
            self.batch_ended(id, BatchEnd::ConnectionLost, None, now);
        }
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.requeue_lost_pieces(id, listed, now);
        }
    }

    /// Queues the pieces again whose results were lost with an incarnation and are still needed.
    fn requeue_lost_pieces(&mut self, id: JobId, listed: &ListedIncarnations, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut has_lost = false;
        for index in 0..job.stages.len() {
            let is_needed = !job.is_reported && job.are_results_needed(index);
            let pieces = job.stages[index].pieces.iter_mut();
            let ended = pieces.filter(|state| {
                matches!(state, PieceState::Completed { server, .. } if is_replaced(server, listed))
            });
            for state in ended {
                has_lost = true;
                *state = if is_needed {
                    PieceState::Waiting
                } else {
                    PieceState::Discarded
                };
            }
        }
        if has_lost {
            self.advance(id, now);
        }
    }
}

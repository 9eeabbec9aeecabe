//! What ends with a life of a server.
//!
//! A server that starts again under its id knows nothing of what it kept. Believed of the new life,
//! the room, the calls and the results of the earlier one would keep its room taken for good, name
//! results that are not there and free what nobody made.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::PieceState;
use super::{BatchEnd, Batcher, JobId, PieceRef};
use crate::id::{ServerId, ServerIncarnation};

/// The life that is listed for each server.
pub(super) type ListedLives = BTreeMap<ServerId, ServerIncarnation>;

fn has_ended(life: &ServerIncarnation, listed: &ListedLives) -> bool {
    let now_listed = listed.get(life.id());
    now_listed.is_some_and(|other| other.replaces(life))
}

impl Batcher {
    /// Ends what was open or kept at lives that others have replaced.
    ///
    /// A server that is only missing from the list may still serve what it keeps, so nothing ends
    /// with that: its results are used until a reader finds them gone.
    pub(super) fn end_replaced(&mut self, listed: &ListedLives, now: Duration) {
        self.frees.retain(|life, _| !has_ended(life, listed));
        let open = self.batches.iter();
        let open = open.filter(|(_, batch)| has_ended(&batch.server, listed));
        let lost: Vec<_> = open.map(|(id, _)| *id).collect();
        for id in lost {
            // Its end may come much later, as behind a cut; what it says then is of no use.
            self.batch_ended(id, BatchEnd::ConnectionLost, None, now);
        }
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for id in jobs {
            self.remake_ended(id, listed, now);
        }
    }

    /// Lets the pieces that lay at ended lives wait again, where something still needs them.
    fn remake_ended(&mut self, id: JobId, listed: &ListedLives, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut waiting = Vec::new();
        for index in 0..job.stages.len() {
            let is_wanted = !job.is_reported && job.results_are_wanted(index);
            let pieces = job.stages[index].pieces.iter_mut().enumerate();
            let ended = pieces.filter(|(_, state)| {
                matches!(state, PieceState::Made { server, .. } if has_ended(server, listed))
            });
            for (piece, state) in ended {
                *state = PieceState::Gone;
                if is_wanted {
                    *state = PieceState::Waiting;
                    waiting.push(PieceRef {
                        job: id,
                        stage: index,
                        piece,
                    });
                }
            }
        }
        if waiting.is_empty() {
            return;
        }
        for piece in &waiting {
            job.stages[piece.stage].is_queued = false;
        }
        job.wait_for_inputs();
        for piece in waiting {
            if self.has_freed_inputs(piece) {
                self.remake_inputs(piece, now);
            }
        }
        self.advance(id, now);
    }
}

//! What owners of the batches have told to be made of one request.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};

use amaranthscale_core::process::RetainedResult;
use tokio::time::Instant;

use super::JobUpdate;

/// Results that are kept for a request, for the next owner if this one ends.
#[derive(Debug, Default)]
pub(super) struct KeptPieces {
    pieces: BTreeMap<(usize, usize), (RetainedResult, Instant)>,
}

impl KeptPieces {
    /// Takes what an owner tells, and marks that it has begun.
    pub(super) fn note(&mut self, news: JobUpdate, has_begun: &AtomicBool) {
        match news {
            JobUpdate::Made(pieces) => {
                has_begun.store(true, Ordering::Relaxed);
                let now = Instant::now();
                let pieces = pieces.into_iter();
                self.pieces
                    .extend(pieces.map(|piece| ((piece.stage, piece.piece), (piece, now))));
            }
            JobUpdate::Dropped(stage) => self.pieces.retain(|(of, _), _| *of != stage),
            JobUpdate::CutOff { .. } | JobUpdate::Ended(_) => {}
        }
    }

    /// The results with their ages as they are now.
    pub(super) fn now(&self) -> Vec<RetainedResult> {
        let aged = |(piece, told_at): &(RetainedResult, Instant)| RetainedResult {
            age: piece.age + told_at.elapsed(),
            ..piece.clone()
        };
        self.pieces.values().map(aged).collect()
    }
}

//! Results that batch owners have reported for one request.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};

use amaranthscale_core::process::RetainedResult;
use tokio::time::Instant;

use super::JobUpdate;

/// Results retained for a request, passed to the next owner if the current one fails.
#[derive(Debug, Default)]
pub(super) struct RetainedResults {
    results: BTreeMap<(usize, usize), (RetainedResult, Instant)>,
}

impl RetainedResults {
    /// Applies an owner's update, and sets `has_begun` once a result exists.
    pub(super) fn record(&mut self, update: JobUpdate, has_begun: &AtomicBool) {
        match update {
            JobUpdate::Made(pieces) => {
                has_begun.store(true, Ordering::Relaxed);
                let now = Instant::now();
                let pieces = pieces.into_iter();
                self.results
                    .extend(pieces.map(|piece| ((piece.stage, piece.piece), (piece, now))));
            }
            JobUpdate::Dropped(stage) => self.results.retain(|(index, _), _| *index != stage),
            JobUpdate::CutOff { .. } | JobUpdate::Ended(_) => {}
        }
    }

    /// The results with their current ages.
    pub(super) fn with_current_ages(&self) -> Vec<RetainedResult> {
        let with_age = |(piece, received_at): &(RetainedResult, Instant)| RetainedResult {
            age: piece.age + received_at.elapsed(),
            ..piece.clone()
        };
        self.results.values().map(with_age).collect()
    }
}

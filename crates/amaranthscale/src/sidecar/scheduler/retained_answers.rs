//! Answers in memory, from admission until they can no longer be fetched.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::unit::SidecarClock;

use crate::sidecar::job::Job;

/// Answers in memory, from admission until they can no longer be fetched.
#[derive(Debug)]
pub(super) struct RetainedAnswers {
    max_ended_bytes: usize,
    ended_bytes: usize,
    answers: HashMap<AttemptId, RetainedAnswer>,
    /// Ended answers by the clock reading until which they are retained.
    ended: BTreeSet<(SidecarClock, AttemptId)>,
}

#[derive(Debug)]
struct RetainedAnswer {
    job: Arc<Job>,
    /// Whether the outcome is not yet in the table, so that this is the only copy.
    is_unrecorded: bool,
    ended: Option<EndedAnswer>,
}

#[derive(Debug, Clone, Copy)]
struct EndedAnswer {
    retain_until: SidecarClock,
    bytes: usize,
}

impl RetainedAnswers {
    pub(super) fn new(max_ended_bytes: usize) -> Self {
        Self {
            max_ended_bytes,
            ended_bytes: 0,
            answers: HashMap::new(),
            ended: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, attempt: &AttemptId) -> Option<&Arc<Job>> {
        self.answers.get(attempt).map(|retained| &retained.job)
    }

    /// All attempts whose answers are in memory.
    pub(super) fn attempts(&self) -> Vec<AttemptId> {
        self.answers.keys().copied().collect()
    }

    pub(super) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(super) const fn ended_bytes(&self) -> usize {
        self.ended_bytes
    }

    pub(super) fn insert(&mut self, job: &Arc<Job>) {
        let retained = RetainedAnswer {
            job: Arc::clone(job),
            is_unrecorded: false,
            ended: None,
        };
        self.answers.insert(job.dispatch.attempt, retained);
    }

    /// Removes an answer without a result.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<Arc<Job>> {
        self.answers.remove(attempt).map(|retained| retained.job)
    }

    /// Sets the retention of an ended answer; one that is not yet in the table stays until it is.
    pub(super) fn end(
        &mut self,
        attempt: AttemptId,
        retain_until: SidecarClock,
        is_unrecorded: bool,
    ) {
        let Some(retained) = self.answers.get_mut(&attempt) else {
            return;
        };
        let bytes = retained.job.answer.result_bytes();
        retained.ended = Some(EndedAnswer {
            retain_until,
            bytes,
        });
        retained.is_unrecorded = is_unrecorded;
        self.ended_bytes += bytes;
        if !is_unrecorded {
            self.ended.insert((retain_until, attempt));
        }
    }

    /// Starts the retention of an answer that is now in the table.
    pub(super) fn record(&mut self, attempt: AttemptId) {
        let Some(retained) = self.answers.get_mut(&attempt) else {
            return;
        };
        retained.is_unrecorded = false;
        if let Some(ended) = retained.ended {
            self.ended.insert((ended.retain_until, attempt));
        }
    }

    /// Drops expired answers and evicts the oldest beyond the size limit; returns the number
    /// evicted.
    pub(super) fn sweep(&mut self, now: SidecarClock) -> usize {
        let mut evicted = 0;
        while let Some((retain_until, attempt)) = self.ended.first().copied() {
            let is_expired = retain_until < now;
            if !is_expired && self.ended_bytes <= self.max_ended_bytes {
                break;
            }
            self.ended.pop_first();
            self.drop_ended(attempt);
            evicted += usize::from(!is_expired);
        }
        evicted
    }

    fn drop_ended(&mut self, attempt: AttemptId) {
        let Some(retained) = self.answers.remove(&attempt) else {
            return;
        };
        retained.job.answer.evict();
        self.ended_bytes -= retained.ended.map_or(0, |ended| ended.bytes);
    }
}

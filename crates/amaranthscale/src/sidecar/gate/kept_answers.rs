//! Answers in memory, from admission until nobody can want them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use amaranthscale_core::id::AttemptId;
use amaranthscale_core::unit::SidecarClock;

use crate::sidecar::job::Job;

/// Answers in memory, from admission until nobody can want them.
#[derive(Debug)]
pub(super) struct KeptAnswers {
    max_ended_bytes: usize,
    ended_bytes: usize,
    kept: HashMap<AttemptId, Kept>,
    /// Ended answers by the reading until which they are kept.
    ended: BTreeSet<(SidecarClock, AttemptId)>,
}

#[derive(Debug)]
struct Kept {
    job: Arc<Job>,
    /// Whether the only copy of the outcome is here.
    is_unrecorded: bool,
    ended: Option<Ended>,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    keep_until: SidecarClock,
    bytes: usize,
}

impl KeptAnswers {
    pub(super) fn new(max_ended_bytes: usize) -> Self {
        Self {
            max_ended_bytes,
            ended_bytes: 0,
            kept: HashMap::new(),
            ended: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, attempt: &AttemptId) -> Option<&Arc<Job>> {
        self.kept.get(attempt).map(|kept| &kept.job)
    }

    /// All attempts whose answers are in memory.
    pub(super) fn attempts(&self) -> Vec<AttemptId> {
        self.kept.keys().copied().collect()
    }

    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }

    pub(super) const fn ended_bytes(&self) -> usize {
        self.ended_bytes
    }

    pub(super) fn insert(&mut self, job: &Arc<Job>) {
        let kept = Kept {
            job: Arc::clone(job),
            is_unrecorded: false,
            ended: None,
        };
        self.kept.insert(job.dispatch.attempt, kept);
    }

    /// Takes out an answer that holds no result.
    pub(super) fn remove(&mut self, attempt: &AttemptId) -> Option<Arc<Job>> {
        self.kept.remove(attempt).map(|kept| kept.job)
    }

    /// Keeps an ended answer for a while; one that is not in the table yet, until it is.
    pub(super) fn end(
        &mut self,
        attempt: AttemptId,
        keep_until: SidecarClock,
        is_unrecorded: bool,
    ) {
        let Some(kept) = self.kept.get_mut(&attempt) else {
            return;
        };
        let bytes = kept.job.answer.kept_bytes();
        kept.ended = Some(Ended { keep_until, bytes });
        kept.is_unrecorded = is_unrecorded;
        self.ended_bytes += bytes;
        if !is_unrecorded {
            self.ended.insert((keep_until, attempt));
        }
    }

    /// Lets an answer go in its time, now that the table has it.
    pub(super) fn record(&mut self, attempt: AttemptId) {
        let Some(kept) = self.kept.get_mut(&attempt) else {
            return;
        };
        kept.is_unrecorded = false;
        if let Some(ended) = kept.ended {
            self.ended.insert((ended.keep_until, attempt));
        }
    }

    /// Drops what is no longer wanted, and the oldest of what is too much; returns the latter.
    pub(super) fn sweep(&mut self, now: SidecarClock) -> usize {
        let mut evicted = 0;
        while let Some((keep_until, attempt)) = self.ended.first().copied() {
            let is_due = keep_until < now;
            if !is_due && self.ended_bytes <= self.max_ended_bytes {
                break;
            }
            self.ended.pop_first();
            self.drop_ended(attempt);
            evicted += usize::from(!is_due);
        }
        evicted
    }

    fn drop_ended(&mut self, attempt: AttemptId) {
        let Some(kept) = self.kept.remove(&attempt) else {
            return;
        };
        kept.job.answer.forget();
        self.ended_bytes -= kept.ended.map_or(0, |ended| ended.bytes);
    }
}

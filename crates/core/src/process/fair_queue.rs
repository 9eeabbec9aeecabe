//! The queue of a sidecar, in front of its backend server.
//!
//! Paid work goes before trial work, and some slots are reserved for it, so that a paid attempt
//! need not wait for a long trial to end. Within a class, organisations share by weight. The queue
//! is bounded: an attempt that would wait too long is refused while its caller can still ask
//! elsewhere.

use std::collections::BTreeMap;

use super::fair_share::FairShare;
use super::{FairQueueLimits, QueuedAttempt, Refusal};
use crate::ResultCode;
use crate::id::AttemptId;
use crate::unit::{Class, SidecarClock};

/// Shortest retry delay after a refusal; below it, callers would retry in step.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Attempts that wait for a slot of one backend server, and those that occupy one.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::{AttemptId, AttemptNumber, RequestId, StageIndex};
/// use amaranthscale_core::process::{FairQueue, FairQueueLimits, QueuedAttempt};
/// use amaranthscale_core::unit::{Class, SidecarClock, Weight};
///
/// let mut queue = FairQueue::new(FairQueueLimits { slots: 1, capacity: 8, paid_reserve_slots: 0 });
/// let now = SidecarClock::from_millis(0);
/// let attempt = AttemptId {
///     request: RequestId::from_random_bits(1),
///     stage: StageIndex::new(0),
///     number: AttemptNumber::new(0),
/// };
/// let item = QueuedAttempt {
///     attempt,
///     organisation: "delta-basin".parse().unwrap(),
///     class: Class::Paid,
///     weight: Weight::DEFAULT,
///     expiry: SidecarClock::from_millis(900),
///     expected_ms: 100,
/// };
/// queue.push(item, now).unwrap();
/// assert_eq!(queue.pop(now).unwrap().attempt, attempt);
/// queue.release(attempt);
/// assert_eq!(queue.running(), 0);
/// ```
#[derive(Debug)]
pub struct FairQueue {
    limits: FairQueueLimits,
    paid: FairShare,
    trial: FairShare,
    running: BTreeMap<AttemptId, Class>,
    displaced: Vec<QueuedAttempt>,
    late: Vec<QueuedAttempt>,
}

impl FairQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(limits: FairQueueLimits) -> Self {
        Self {
            limits,
            paid: FairShare::default(),
            trial: FairShare::default(),
            running: BTreeMap::new(),
            displaced: Vec::new(),
            late: Vec::new(),
        }
    }

    /// Queues an attempt, or refuses it with a reason.
    ///
    /// A paid arrival at a full queue displaces the newest trial attempt; see
    /// [`take_displaced`](Self::take_displaced).
    pub fn push(&mut self, mut item: QueuedAttempt, now: SidecarClock) -> Result<(), Refusal> {
        if self.contains(&item.attempt) {
            return Err(self.refusal(ResultCode::DuplicateAttempt, &item));
        }
        // The expected time may stem from before a freeze or a slow period. If a server with a free
        // slot refused because of it, it would never measure that it has recovered.
        if self.can_start_at_once(item.class) {
            item.expected_ms = item.expected_ms.min(remaining_ms(&item, now));
        }
        if item.expiry <= now || !item.can_meet_expiry(now) {
            return Err(self.refusal(ResultCode::DeadlineUnreachable, &item));
        }
        self.displace_if_full(&item)?;
        self.class_share_mut(item.class).push(item);
        Ok(())
    }

    /// Removes and returns the next attempt to run, if a slot is free for it.
    ///
    /// Attempts that can no longer end in time are skipped and collected for
    /// [`expired`](Self::expired).
    pub fn pop(&mut self, now: SidecarClock) -> Option<QueuedAttempt> {
        self.collect_late(now);
        if self.running() >= self.limits.slots {
            return None;
        }
        let item = self.paid.pop().or_else(|| self.pop_trial())?;
        self.running.insert(item.attempt, item.class);
        Some(item)
    }

    /// Frees the slot of an attempt that has ended.
    pub fn release(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Removes a revoked attempt; false if it is not queued.
    pub fn remove(&mut self, attempt: &AttemptId) -> bool {
        self.paid
            .remove(attempt)
            .or_else(|| self.trial.remove(attempt))
            .is_some()
    }

    /// Removes and returns all attempts that can no longer end in time.
    pub fn expired(&mut self, now: SidecarClock) -> Vec<QueuedAttempt> {
        self.collect_late(now);
        std::mem::take(&mut self.late)
    }

    /// Removes and returns the trial attempts that were displaced by paid ones.
    pub fn take_displaced(&mut self) -> Vec<QueuedAttempt> {
        std::mem::take(&mut self.displaced)
    }

    /// Number of waiting attempts of a class.
    #[must_use]
    pub fn len(&self, class: Class) -> usize {
        match class {
            Class::Paid => self.paid.len(),
            Class::Trial => self.trial.len(),
        }
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.paid.len() + self.trial.len() == 0
    }

    /// Number of attempts that occupy a slot.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Number of attempts that may occupy a slot at once.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.limits.slots
    }

    /// Changes the number of slots; running attempts keep theirs.
    pub const fn set_slots(&mut self, slots: u32) {
        self.limits.slots = slots;
    }

    const fn class_share_mut(&mut self, class: Class) -> &mut FairShare {
        match class {
            Class::Paid => &mut self.paid,
            Class::Trial => &mut self.trial,
        }
    }

    fn contains(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt)
            || self.paid.contains(attempt)
            || self.trial.contains(attempt)
    }

    fn can_start_at_once(&self, class: Class) -> bool {
        let has_slot = self.running() < self.limits.slots;
        let is_within_reserve = class == Class::Paid || self.may_start_trial();
        self.is_empty() && has_slot && is_within_reserve
    }

    fn displace_if_full(&mut self, arrival: &QueuedAttempt) -> Result<(), Refusal> {
        if self.paid.len() + self.trial.len() < self.limits.capacity {
            return Ok(());
        }
        // A burst of trials fills the queue before paid work arrives. Without displacement that
        // paid work would be refused although it has priority; a waiting trial has not run, so it
        // can be refused instead.
        let newest_trial = match arrival.class {
            Class::Paid => self.trial.pop_newest(),
            Class::Trial => None,
        };
        let displaced = newest_trial.ok_or_else(|| self.refusal(ResultCode::QueueFull, arrival))?;
        self.displaced.push(displaced);
        Ok(())
    }

    fn pop_trial(&mut self) -> Option<QueuedAttempt> {
        if self.may_start_trial() {
            self.trial.pop()
        } else {
            None
        }
    }

    fn may_start_trial(&self) -> bool {
        let classes = self.running.values();
        let trials = classes.filter(|class| **class == Class::Trial).count();
        trials < self.trial_slots()
    }

    /// A server with few slots must still run trials when it is idle, so at least one slot is
    /// available to them.
    fn trial_slots(&self) -> usize {
        let slots = self
            .limits
            .slots
            .saturating_sub(self.limits.paid_reserve_slots);
        usize::try_from(slots.max(1)).unwrap_or(usize::MAX)
    }

    fn collect_late(&mut self, now: SidecarClock) {
        self.late.extend(self.paid.take_late(now));
        self.late.extend(self.trial.take_late(now));
    }

    fn refusal(&self, code: ResultCode, item: &QueuedAttempt) -> Refusal {
        let waiting = u64::try_from(self.paid.len() + self.trial.len()).unwrap_or(u64::MAX);
        let drain_ms = waiting.saturating_mul(item.expected_ms) / u64::from(self.slots().max(1));
        Refusal::new(code, drain_ms.max(MIN_RETRY_AFTER_MS))
    }
}

/// Remaining time to an attempt's expiry; 0 if that has passed, so that it is still refused.
fn remaining_ms(item: &QueuedAttempt, now: SidecarClock) -> u64 {
    item.expiry.as_millis().saturating_sub(now.as_millis())
}

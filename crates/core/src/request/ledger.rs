//! Record of the attempts that a sidecar has received.
//!
//! An attempt goes from absent to queued to running to finished and never back. An attempt that was
//! dropped from memory is never reported as "not run": past its expiry it cannot start, but it may
//! have run before, so the answer is [`RevokeAnswer::Forgotten`].

mod limits;
mod record;
mod state;

use std::collections::{BTreeMap, BTreeSet};

#[doc(inline)]
pub use limits::LedgerLimits;
use record::Record;
#[doc(inline)]
pub use state::LedgerState;

use crate::id::{AttemptId, Incarnation};
use crate::unit::SidecarClock;
use crate::wire::{Outcome, RevokeAnswer};
use crate::{Ran, ResultCode};

/// Attempts received by one incarnation of a sidecar.
///
/// Call [`Ledger::start`] before the claim and before the call: from then on a revocation is
/// answered with "running", and the attempt must end with an outcome.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::ResultCode;
/// use amaranthscale_core::id::{AttemptId, AttemptNumber, Incarnation, RequestId, StageIndex};
/// use amaranthscale_core::request::{Ledger, LedgerLimits};
/// use amaranthscale_core::unit::SidecarClock;
/// use amaranthscale_core::wire::RevokeAnswer;
///
/// let incarnation = Incarnation::new(7);
/// let mut ledger = Ledger::new(incarnation, LedgerLimits::default());
/// let attempt = AttemptId {
///     request: RequestId::from_random_bits(1),
///     stage: StageIndex::new(0),
///     number: AttemptNumber::new(0),
/// };
/// let now = SidecarClock::from_millis(1_000);
/// let expiry = SidecarClock::from_millis(5_000);
///
/// assert_eq!(ledger.revoke(attempt, incarnation, expiry, now), RevokeAnswer::Revoked);
/// assert_eq!(ledger.admit(attempt, incarnation, expiry, now), Err(ResultCode::AttemptRevoked));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    records: BTreeMap<AttemptId, Record>,
    /// Ended records by the end of their retention.
    ended: BTreeSet<(SidecarClock, AttemptId)>,
    queued: usize,
    running: usize,
    /// Latest clock reading seen.
    latest: SidecarClock,
}

impl Ledger {
    /// Creates an empty ledger for a new incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: BTreeMap::new(),
            ended: BTreeSet::new(),
            queued: 0,
            running: 0,
            latest: SidecarClock::default(),
        }
    }

    /// The incarnation of the sidecar that this ledger belongs to.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Admits an attempt as queued, or returns why this delivery will not run.
    ///
    /// [`ResultCode::DuplicateAttempt`] says nothing about the first delivery of the attempt: the
    /// entry must query its state and not report "not run".
    pub fn admit(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        expiry: SidecarClock,
        now: SidecarClock,
    ) -> Result<(), ResultCode> {
        let now = self.advance(now);
        self.check_incarnation(incarnation)?;
        self.check_absent(&attempt)?;
        self.check_expiry(expiry, now)?;
        self.check_capacity(now)?;
        self.records.insert(attempt, Record::queued(expiry));
        self.queued += 1;
        Ok(())
    }

    /// Marks a queued attempt as running; the call may be made only after `Ok`.
    pub fn start(&mut self, attempt: AttemptId, now: SidecarClock) -> Result<(), ResultCode> {
        let now = self.advance(now);
        let record = self
            .records
            .get_mut(&attempt)
            .ok_or(ResultCode::AttemptExpired)?;
        match &record.state {
            LedgerState::Queued => {}
            LedgerState::Revoked => return Err(ResultCode::AttemptRevoked),
            LedgerState::Finished(outcome) if outcome.ran() == Ran::No => return Err(outcome.code),
            LedgerState::Running | LedgerState::Finished(_) => {
                return Err(ResultCode::DuplicateAttempt);
            }
        }
        // Past its expiry an attempt may already have been answered as lost. Without this check, a
        // sidecar that was paused would resume and make a call that nobody waits for.
        if now > record.expiry {
            self.refuse(attempt, ResultCode::AttemptExpired, now);
            return Err(ResultCode::AttemptExpired);
        }
        record.state = LedgerState::Running;
        self.queued -= 1;
        self.running += 1;
        Ok(())
    }

    /// Ends an attempt without a call.
    ///
    /// Also used for an attempt that was started and then failed to claim the call.
    pub fn refuse(&mut self, attempt: AttemptId, code: ResultCode, now: SidecarClock) {
        debug_assert_eq!(code.ran(), Ran::No, "{attempt} is refused as {code}");
        let now = self.advance(now);
        self.end(
            attempt,
            LedgerState::Finished(Outcome::without_result(code)),
            now,
        );
    }

    /// Ends a running attempt with its outcome.
    pub fn finish(&mut self, attempt: AttemptId, outcome: Outcome, now: SidecarClock) {
        // A call made without a start could have been reported as revoked.
        let is_started = self.state(&attempt) != Some(&LedgerState::Queued);
        debug_assert!(
            is_started || outcome.ran() == Ran::No,
            "{attempt} ran without a start"
        );
        let now = self.advance(now);
        self.end(attempt, LedgerState::Finished(outcome), now);
    }

    /// Prevents an attempt from starting, or returns its state if it has started.
    pub fn revoke(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        expiry: SidecarClock,
        now: SidecarClock,
    ) -> RevokeAnswer {
        let now = self.advance(now);
        // The ledger of another incarnation is lost. Reporting its attempts as "not run" would let
        // the entry run the same call twice.
        if incarnation != self.incarnation {
            return RevokeAnswer::OtherIncarnation;
        }
        match self.records.get(&attempt).map(|record| &record.state) {
            None => self.revoke_absent(attempt, expiry, now),
            Some(LedgerState::Queued) => {
                self.end(attempt, LedgerState::Revoked, now);
                RevokeAnswer::Revoked
            }
            Some(LedgerState::Revoked) => RevokeAnswer::Revoked,
            Some(LedgerState::Running) => RevokeAnswer::Running,
            Some(LedgerState::Finished(outcome)) => RevokeAnswer::Finished(outcome.clone()),
        }
    }

    /// State of an attempt, if its record is still in memory.
    #[must_use]
    pub fn state(&self, attempt: &AttemptId) -> Option<&LedgerState> {
        self.records.get(attempt).map(|record| &record.state)
    }

    /// Drops ended attempts whose retention is over.
    pub fn sweep(&mut self, now: SidecarClock) {
        let now = self.advance(now);
        while let Some((retain_until, attempt)) = self.ended.first().copied() {
            if retain_until >= now {
                break;
            }
            self.ended.pop_first();
            self.records.remove(&attempt);
        }
    }

    /// Number of attempts in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no attempt is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of queued attempts.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the latest clock reading so far: an attempt whose record was dropped at a later
    /// reading must stay expired.
    fn advance(&mut self, now: SidecarClock) -> SidecarClock {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Refuses an attempt addressed to another incarnation.
    ///
    /// An earlier incarnation may have run it, and its ledger is lost: without this check, a
    /// message delayed across the restart would run a second time.
    fn check_incarnation(&self, incarnation: Incarnation) -> Result<(), ResultCode> {
        if incarnation == self.incarnation {
            Ok(())
        } else {
            Err(ResultCode::WrongIncarnation)
        }
    }

    fn check_absent(&self, attempt: &AttemptId) -> Result<(), ResultCode> {
        match self.state(attempt) {
            None => Ok(()),
            Some(LedgerState::Revoked) => Err(ResultCode::AttemptRevoked),
            Some(_) => Err(ResultCode::DuplicateAttempt),
        }
    }

    /// Refuses an attempt whose record may have been dropped, or would be retained too long.
    ///
    /// A record is retained at least until its expiry, so an absent attempt that has not expired
    /// was never received. An expired one may have been received, run and dropped.
    fn check_expiry(&self, expiry: SidecarClock, now: SidecarClock) -> Result<(), ResultCode> {
        if now > expiry || self.is_too_far(expiry, now) {
            return Err(ResultCode::AttemptExpired);
        }
        Ok(())
    }

    fn check_capacity(&mut self, now: SidecarClock) -> Result<(), ResultCode> {
        if self.len() >= self.limits.max_entries {
            self.sweep(now);
        }
        if self.len() >= self.limits.max_entries {
            log::debug!("ledger: full with {} attempts", self.len());
            return Err(ResultCode::LedgerFull);
        }
        Ok(())
    }

    fn is_too_far(&self, expiry: SidecarClock, now: SidecarClock) -> bool {
        now.until(expiry) > self.limits.max_expiry_ahead
    }

    /// Records a tombstone, so that the attempt is refused if it arrives after its revocation.
    ///
    /// Where no tombstone can be recorded, the answer gives no guarantee.
    fn revoke_absent(
        &mut self,
        attempt: AttemptId,
        expiry: SidecarClock,
        now: SidecarClock,
    ) -> RevokeAnswer {
        let has_tombstone =
            self.check_expiry(expiry, now).is_ok() && self.check_capacity(now).is_ok();
        if !has_tombstone {
            return RevokeAnswer::Forgotten;
        }
        self.records.insert(attempt, Record::revoked(expiry));
        self.ended.insert((expiry, attempt));
        RevokeAnswer::Revoked
    }

    fn end(&mut self, attempt: AttemptId, state: LedgerState, now: SidecarClock) {
        let Some(record) = self.records.get_mut(&attempt) else {
            log::debug!("ledger: {attempt} ended but is not in the ledger");
            return;
        };
        match record.state {
            LedgerState::Queued => self.queued -= 1,
            LedgerState::Running => self.running -= 1,
            LedgerState::Revoked | LedgerState::Finished(_) => return,
        }
        let retain_until = match state {
            LedgerState::Finished(_) => record.expiry.max(now.plus(self.limits.keep_finished)),
            _ => record.expiry,
        };
        record.state = state;
        self.ended.insert((retain_until, attempt));
    }
}

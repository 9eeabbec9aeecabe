//! Which attempts a sidecar has seen.
//!
//! An attempt goes from absent to queued to running to finished and never back. What the ledger
//! has dropped from memory it never calls "not run": past its expiry an attempt cannot start, but
//! it may have run before, so the answer is then [`RevokeAnswer::Forgotten`].

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

/// Attempts of one life of a sidecar.
///
/// Call [`Ledger::start`] before the claim and before the call: from then on a revocation is
/// answered "running", and the attempt may no longer be dropped silently.
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
/// let life = Incarnation::new(7);
/// let mut ledger = Ledger::new(life, LedgerLimits::default());
/// let attempt = AttemptId {
///     request: RequestId::from_random_bits(1),
///     stage: StageIndex::new(0),
///     number: AttemptNumber::new(0),
/// };
/// let now = SidecarClock::from_millis(1_000);
/// let expiry = SidecarClock::from_millis(5_000);
///
/// assert_eq!(ledger.revoke(attempt, life, expiry, now), RevokeAnswer::Revoked);
/// assert_eq!(ledger.admit(attempt, life, expiry, now), Err(ResultCode::AttemptRevoked));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ledger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    records: BTreeMap<AttemptId, Record>,
    /// Ended records by the time until which they are kept.
    ended: BTreeSet<(SidecarClock, AttemptId)>,
    queued: usize,
    running: usize,
    latest: SidecarClock,
}

impl Ledger {
    /// Opens an empty ledger for a new life.
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

    /// The life that this ledger speaks for.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes an attempt into the queue, or says why it will not run.
    ///
    /// Refusals hold for the delivery at hand. [`ResultCode::DuplicateAttempt`] tells nothing about
    /// the first delivery: the entry must ask, not report "not run".
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
        self.check_room(now)?;
        self.records.insert(attempt, Record::queued(expiry));
        self.queued += 1;
        Ok(())
    }

    /// Moves a queued attempt to running; only after `Ok` may the call be made.
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
        // An attempt that waited past its expiry may already be answered for as lost. Without this
        // check a sidecar that was paused would wake and make a call that nobody waits for.
        if now > record.expiry {
            self.refuse(attempt, ResultCode::AttemptExpired, now);
            return Err(ResultCode::AttemptExpired);
        }
        record.state = LedgerState::Running;
        self.queued -= 1;
        self.running += 1;
        Ok(())
    }

    /// Ends an attempt whose call was not made.
    ///
    /// Also for an attempt that was started and then lost its claim before the call.
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
        // A call that was made without a start would have been answered "revoked".
        let is_started = self.state(&attempt) != Some(&LedgerState::Queued);
        debug_assert!(
            is_started || outcome.ran() == Ran::No,
            "{attempt} ran without a start"
        );
        let now = self.advance(now);
        self.end(attempt, LedgerState::Finished(outcome), now);
    }

    /// Keeps an attempt from starting, or says how far it has come.
    pub fn revoke(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        expiry: SidecarClock,
        now: SidecarClock,
    ) -> RevokeAnswer {
        let now = self.advance(now);
        // Another life's ledger is gone with it. Calling its attempts "not run" would let the
        // entry run the same call twice.
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

    /// How far an attempt has come, if the ledger still knows it.
    #[must_use]
    pub fn state(&self, attempt: &AttemptId) -> Option<&LedgerState> {
        self.records.get(attempt).map(|record| &record.state)
    }

    /// Drops ended attempts that need no longer be kept.
    pub fn sweep(&mut self, now: SidecarClock) {
        let now = self.advance(now);
        while let Some((keep_until, attempt)) = self.ended.first().copied() {
            if keep_until >= now {
                break;
            }
            self.ended.pop_first();
            self.records.remove(&attempt);
        }
    }

    /// Attempts in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Attempts that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Attempts that are queued.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Never lets the clock step back: a record dropped at a later reading must stay expired.
    fn advance(&mut self, now: SidecarClock) -> SidecarClock {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Refuses an attempt meant for an earlier life.
    ///
    /// The earlier life may have run it; its memory is gone, so that the same message, delayed
    /// across the restart, would run a second time.
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

    /// Refuses an attempt whose record may be gone already, or would be kept too long.
    ///
    /// A record is kept at least until its expiry, so an attempt before its expiry that is absent
    /// was never here. Past its expiry it may have been here, run, and been dropped.
    fn check_expiry(&self, expiry: SidecarClock, now: SidecarClock) -> Result<(), ResultCode> {
        if now > expiry || self.is_too_far(expiry, now) {
            return Err(ResultCode::AttemptExpired);
        }
        Ok(())
    }

    fn check_room(&mut self, now: SidecarClock) -> Result<(), ResultCode> {
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

    /// Leaves a tombstone, so that the attempt is refused if it arrives after its revocation.
    ///
    /// Where no tombstone can be left, the answer promises nothing.
    fn revoke_absent(
        &mut self,
        attempt: AttemptId,
        expiry: SidecarClock,
        now: SidecarClock,
    ) -> RevokeAnswer {
        let is_promised = self.check_expiry(expiry, now).is_ok() && self.check_room(now).is_ok();
        if !is_promised {
            return RevokeAnswer::Forgotten;
        }
        self.records.insert(attempt, Record::revoked(expiry));
        self.ended.insert((expiry, attempt));
        RevokeAnswer::Revoked
    }

    fn end(&mut self, attempt: AttemptId, state: LedgerState, now: SidecarClock) {
        let Some(record) = self.records.get_mut(&attempt) else {
            log::debug!("ledger: {attempt} ended but is not known");
            return;
        };
        match record.state {
            LedgerState::Queued => self.queued -= 1,
            LedgerState::Running => self.running -= 1,
            LedgerState::Revoked | LedgerState::Finished(_) => return,
        }
        let keep_until = match state {
            LedgerState::Finished(_) => record.expiry.max(now.plus(self.limits.keep_finished)),
            _ => record.expiry,
        };
        record.state = state;
        self.ended.insert((keep_until, attempt));
    }
}

//! One conditional write whose answer may be lost and whose effect may come late.
//!
//! The table may apply a write after its caller has given up on the answer. A read that still
//! shows the old row therefore settles nothing: the write may take effect after the read. Only a
//! row that has moved on settles it, so the very same write is repeated until the row has moved.
//!
//! What one read can tell, with `expected` the version that the write names:
//!
//! | version read | write id in the row | previous write id | step |
//! |---|---|---|---|
//! | below `expected` | any | any | read again: the read is older than the one we started from |
//! | `expected` | any | any | send the same write again |
//! | `expected` + 1 | ours | any | won |
//! | `expected` + 1 | another | any | lost |
//! | `expected` + 2 | any | ours | superseded: ours took effect, then another |
//! | `expected` + 2 | any | another | lost |
//! | anything else | any | any | undecided: the history is no longer visible |

mod envelope;
mod step;

#[doc(inline)]
pub use envelope::{Envelope, EnvelopeError};
#[doc(inline)]
pub use step::{WriteEvent, WriteStep};

use crate::id::{RowVersion, WriteId};
use crate::wire::{Row, RowCheck, RowWrite, Transaction, TransactionReply};

/// A conditional write on its way to being settled.
///
/// Its first step is to send [`ConditionalWrite::transaction`]; what follows, it says itself.
///
/// # Examples
///
/// The answer is lost, and the row read back shows our write id:
///
/// ```
/// use amaranthscale_core::id::{RowVersion, WriteId};
/// use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
/// use amaranthscale_core::wire::Row;
///
/// let write_id = WriteId::new("w-1")?;
/// let mut write = ConditionalWrite::new("tree", RowVersion::new(4), "new tree", write_id);
/// let sent = write.transaction();
/// assert_eq!(write.next(WriteEvent::Lost), WriteStep::ReadBack);
///
/// let row = Row {
///     key: "tree".to_owned(),
///     version: RowVersion::new(5),
///     value: sent.writes[0].value.clone(),
/// };
/// assert_eq!(write.next(WriteEvent::ReadBack(row.clone())), WriteStep::Won { row });
/// # Ok::<(), amaranthscale_core::id::InvalidName>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConditionalWrite {
    key: String,
    expected: RowVersion,
    envelope: Envelope,
    checks: Vec<RowCheck>,
    writes: Vec<RowWrite>,
    settled: Option<WriteStep>,
}

impl ConditionalWrite {
    /// Prepares a write of one row.
    ///
    /// The write id must be unique: it is all that tells one writer's row from another's.
    #[must_use]
    pub fn new(
        key: impl Into<String>,
        expected: RowVersion,
        value: impl Into<String>,
        write_id: WriteId,
    ) -> Self {
        Self {
            key: key.into(),
            expected,
            envelope: Envelope::new(write_id, value),
            checks: Vec::new(),
            writes: Vec::new(),
            settled: None,
        }
    }

    /// Names the row that this write replaces, so that its writer can see that it had won.
    ///
    /// A row at another version than the expected one is no predecessor and is left out.
    #[must_use]
    pub fn replacing(mut self, row: &Row) -> Self {
        if row.version != self.expected {
            return self;
        }
        self.envelope.previous_write_id = Envelope::parse(&row.value)
            .ok()
            .map(|envelope| envelope.write_id);
        self
    }

    /// Commits only if another row is at its version too.
    #[must_use]
    pub fn also_checking(mut self, check: RowCheck) -> Self {
        self.checks.push(check);
        self
    }

    /// Writes another row in the same transaction.
    #[must_use]
    pub fn also_writing(mut self, write: RowWrite) -> Self {
        self.writes.push(write);
        self
    }

    /// Key of the row that decides.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// What to send; the same each time.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let own_check = RowCheck {
            key: self.key.clone(),
            version: self.expected,
        };
        let own_write = RowWrite {
            key: self.key.clone(),
            value: self.envelope.to_value(),
        };
        Transaction {
            checks: std::iter::once(own_check)
                .chain(self.checks.clone())
                .collect(),
            writes: std::iter::once(own_write)
                .chain(self.writes.clone())
                .collect(),
        }
    }

    /// Takes what happened and says what to do.
    ///
    /// Once settled, it stays settled.
    pub fn next(&mut self, event: WriteEvent) -> WriteStep {
        if let Some(settled) = &self.settled {
            return settled.clone();
        }
        let step = match event {
            WriteEvent::Replied(TransactionReply::Committed(rows)) => self.committed(rows),
            WriteEvent::Replied(TransactionReply::Conflict(rows)) => self.conflict(rows),
            WriteEvent::ReadBack(row) => self.judge(row),
            WriteEvent::Lost | WriteEvent::ReadLost => WriteStep::ReadBack,
        };
        if step.is_settled() {
            log::debug!("write: {} at {} is settled", self.key, self.expected);
            self.settled = Some(step.clone());
        }
        step
    }

    /// Settles a commit by the row that it brings, not by the word.
    ///
    /// A late reply to an earlier write of the same caller says "committed" too. Believing it would
    /// show as a claim that we never held, so the row must carry our write id.
    fn committed(&self, rows: Vec<Row>) -> WriteStep {
        match rows.into_iter().find(|row| row.key == self.key) {
            Some(row) => self.judge(row),
            None => WriteStep::ReadBack,
        }
    }

    /// Settles a conflict, which may be with our own earlier sending.
    ///
    /// A repeated write whose first sending took effect meets its own row. Taking every conflict
    /// for a loss would show as a claim that nobody holds, so the row decides, not the reply.
    fn conflict(&self, rows: Vec<Row>) -> WriteStep {
        let has_moved = rows
            .iter()
            .any(|row| row.key == self.key && row.version != self.expected);
        let decisive = rows.into_iter().find(|row| {
            if has_moved {
                row.key == self.key
            } else {
                self.is_overtaken_by(row)
            }
        });
        match decisive {
            Some(row) if row.key == self.key => self.judge(row),
            Some(row) => WriteStep::LostTo { row },
            None => WriteStep::ReadBack,
        }
    }

    /// Whether another checked row has moved on, so that no sending of ours can commit any more.
    fn is_overtaken_by(&self, row: &Row) -> bool {
        self.checks
            .iter()
            .any(|check| check.key == row.key && check.version < row.version)
    }

    fn judge(&self, row: Row) -> WriteStep {
        if row.version < self.expected {
            return WriteStep::ReadBack;
        }
        if row.version == self.expected {
            // Our write may still be on its way and take effect after this read. Settling for
            // "lost" here shows as a row that we disowned and yet hold; a repeat of the same write
            // is harmless, since only one of the two can find this version.
            return WriteStep::Send;
        }
        let envelope = Envelope::parse(&row.value).ok();
        if row.version == self.expected.next() {
            let is_ours = envelope.is_some_and(|e| e.write_id == self.envelope.write_id);
            return if is_ours {
                WriteStep::Won { row }
            } else {
                WriteStep::LostTo { row }
            };
        }
        self.judge_later(row, envelope)
    }

    /// Settles by the one step of history that a later row shows.
    fn judge_later(&self, row: Row, envelope: Option<Envelope>) -> WriteStep {
        let is_second = row.version == self.expected.next().next();
        match envelope.and_then(|envelope| envelope.previous_write_id) {
            Some(previous) if is_second && previous == self.envelope.write_id => {
                WriteStep::Superseded { row }
            }
            Some(_) if is_second => WriteStep::LostTo { row },
            _ => WriteStep::Undecided { row },
        }
    }
}

//! A conditional write whose reply may be lost and which may take effect late.
//!
//! The table may apply a write after its caller has stopped waiting for the reply. A read that
//! still shows the old row therefore does not settle the write: it may take effect after the read.
//! Only a newer row version settles it, so the same write is sent again until the version changes.
//!
//! Next step after a read, where `expected` is the version that the write is conditional on:
//!
//! | row version | write id | previous write id | step |
//! |---|---|---|---|
//! | below `expected` | any | any | read again: older than the row that the write is based on |
//! | `expected` | any | any | send the same write again |
//! | `expected` + 1 | ours | any | won |
//! | `expected` + 1 | another | any | lost |
//! | `expected` + 2 | any | ours | superseded: our write took effect, then another one |
//! | `expected` + 2 | any | another | lost |
//! | anything else | any | any | undecided: the row no longer shows what happened |

mod envelope;
mod step;

#[doc(inline)]
pub use envelope::{Envelope, EnvelopeError};
#[doc(inline)]
pub use step::{WriteEvent, WriteStep};

use crate::id::{RowVersion, WriteId};
use crate::wire::{Row, RowCheck, RowWrite, Transaction, TransactionReply};

/// State machine of one conditional write until it is settled.
///
/// Send [`ConditionalWrite::transaction`] first; [`ConditionalWrite::next`] returns each further
/// step.
///
/// # Examples
///
/// The reply is lost, and the row read back shows our write id:
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
    /// Creates a write of one row that is conditional on the row's version.
    ///
    /// The write id must be unique: it is the only way to recognise the row of this write.
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

    /// Records the write id of the replaced row, so that its writer can see that it took effect.
    ///
    /// A row at another version than the expected one is not the predecessor and is ignored.
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

    /// Makes the commit conditional on the version of another row as well.
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

    /// Key of the row that the write is conditional on.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The transaction to send, the same each time.
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

    /// Handles an event and returns the next step.
    ///
    /// After the write is settled, every event returns the same step.
    pub fn next(&mut self, event: WriteEvent) -> WriteStep {
        if let Some(settled) = &self.settled {
            return settled.clone();
        }
        let step = match event {
            WriteEvent::Replied(TransactionReply::Committed(rows)) => self.evaluate_commit(rows),
            WriteEvent::Replied(TransactionReply::Conflict(rows)) => self.evaluate_conflict(rows),
            WriteEvent::ReadBack(row) => self.evaluate_row(row),
            WriteEvent::Lost | WriteEvent::ReadLost => WriteStep::ReadBack,
        };
        if step.is_settled() {
            log::debug!("write: {} at {} is settled", self.key, self.expected);
            self.settled = Some(step.clone());
        }
        step
    }

    /// Evaluates a "committed" reply by the row that it contains.
    ///
    /// A late reply to an earlier write of the same caller is "committed" too. Trusting it could
    /// take a claim for ours that we never held, so the row must contain our write id.
    fn evaluate_commit(&self, rows: Vec<Row>) -> WriteStep {
        match rows.into_iter().find(|row| row.key == self.key) {
            Some(row) => self.evaluate_row(row),
            None => WriteStep::ReadBack,
        }
    }

    /// Evaluates a conflict, which may be with an earlier sending of the same write.
    ///
    /// If the first sending took effect, a repeated one conflicts with its own row. Treating every
    /// conflict as lost would leave a claim that nobody holds, so the row decides, not the reply.
    fn evaluate_conflict(&self, rows: Vec<Row>) -> WriteStep {
        let has_other_version = rows
            .iter()
            .any(|row| row.key == self.key && row.version != self.expected);
        let decisive = rows.into_iter().find(|row| {
            if has_other_version {
                row.key == self.key
            } else {
                self.fails_check_on(row)
            }
        });
        match decisive {
            Some(row) if row.key == self.key => self.evaluate_row(row),
            Some(row) => WriteStep::LostTo { row },
            None => WriteStep::ReadBack,
        }
    }

    /// Whether another checked row has a newer version, so that this write can no longer commit.
    fn fails_check_on(&self, row: &Row) -> bool {
        self.checks
            .iter()
            .any(|check| check.key == row.key && check.version < row.version)
    }

    fn evaluate_row(&self, row: Row) -> WriteStep {
        if row.version < self.expected {
            return WriteStep::ReadBack;
        }
        if row.version == self.expected {
            // Our write may still be in flight and take effect after this read. Treating it as lost
            // here would leave a row that is ours although we gave it up. Sending the same write
            // again is harmless, since only one of the two can find this version.
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
        self.evaluate_later_row(row, envelope)
    }

    /// Evaluates a row two or more versions later, which shows only the write id before its own.
    fn evaluate_later_row(&self, row: Row, envelope: Option<Envelope>) -> WriteStep {
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

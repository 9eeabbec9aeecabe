//! The table: rows, transactions and their replies.

use amaranthscale_core::id::RowVersion;
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use amaranthscale_core::wire::{Row, RowCheck, Transaction, TransactionReply};

use crate::simulation::{Packet, Simulation, Writer};

impl Simulation {
    pub fn row(&self, key: &str) -> Row {
        self.table.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: RowVersion::default(),
            value: String::new(),
        })
    }

    pub fn commit(&mut self, transaction: &Transaction) -> TransactionReply {
        let is_current = |c: &RowCheck| self.row(&c.key).version == c.version;
        if !transaction.checks.iter().all(is_current) {
            let rows = transaction.checks.iter().map(|check| self.row(&check.key));
            return TransactionReply::Conflict(rows.collect());
        }
        let mut rows = Vec::new();
        for write in &transaction.writes {
            let mut row = self.row(&write.key);
            row.version = row.version.next();
            row.value.clone_from(&write.value);
            self.table.insert(write.key.clone(), row.clone());
            rows.push(row);
        }
        TransactionReply::Committed(rows)
    }

    pub fn table_event(&mut self, writer: Writer, event: WriteEvent) {
        match writer {
            Writer::Entry(entry_call) => self.entry_event(entry_call, event),
            Writer::Sidecar(sidecar, incarnation, attempt) => {
                if self.sidecars[sidecar].ledger.incarnation() == incarnation {
                    self.job_event(sidecar, attempt, event);
                }
            }
        }
    }

    pub fn perform_step(&mut self, writer: Writer, write: &ConditionalWrite, step: &WriteStep) {
        let key = write.key().to_owned();
        match step {
            WriteStep::Send => {
                let transaction = write.transaction();
                self.network.push(Packet::Write {
                    writer,
                    transaction,
                });
            }
            WriteStep::ReadBack => self.network.push(Packet::Read { writer, key }),
            _ => {}
        }
    }
}

//! Counts of final answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Ran, ResultCode};

/// Final answers of one class or organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttainmentCounts {
    /// Complete within the deadline.
    pub complete: u64,
    /// Complete after the deadline.
    pub late: u64,
    /// Refused and not run, by code.
    pub refused: BTreeMap<ResultCode, u64>,
    /// Failed or unknown, by code.
    pub failed: BTreeMap<ResultCode, u64>,
}

impl AttainmentCounts {
    /// Counts one final answer.
    pub fn add(&mut self, code: ResultCode, is_in_deadline: bool) {
        match (code, code.ran()) {
            (ResultCode::Complete, _) if is_in_deadline => self.complete += 1,
            (ResultCode::Complete, _) => self.late += 1,
            (_, Ran::No) => *self.refused.entry(code).or_default() += 1,
            (_, Ran::Yes | Ran::Unknown) => *self.failed.entry(code).or_default() += 1,
        }
    }

    /// Adds the counts of another organisation.
    pub fn add_counts(&mut self, other: &Self) {
        self.complete += other.complete;
        self.late += other.late;
        for (code, count) in &other.refused {
            *self.refused.entry(*code).or_default() += count;
        }
        for (code, count) in &other.failed {
            *self.failed.entry(*code).or_default() += count;
        }
    }

    /// All final answers.
    #[must_use]
    pub fn total(&self) -> u64 {
        let refused: u64 = self.refused.values().sum();
        let failed: u64 = self.failed.values().sum();
        self.complete + self.late + refused + failed
    }

    /// Complete within the deadline, in ten-thousandths of all; none without answers.
    #[must_use]
    pub fn attainment_basis_points(&self) -> Option<u64> {
        (self.complete * 10_000).checked_div(self.total())
    }
}

//! Cost by stage and organisation.
//!
//! A process keeps absolute totals of its own incarnation and writes them under keys that contain
//! that incarnation. So a write whose answer was lost may be repeated: the row stays the same. A
//! restarted process writes new rows and does not touch those of its earlier incarnation.

use std::collections::BTreeMap;

use super::{CostKey, CostTotals};
use crate::id::{HostId, Incarnation, OrganisationId, RowVersion};
use crate::wire::{Row, RowWrite, StageCost};

/// First part of the key of each cost row.
const KEY_PREFIX: &str = "cost";
/// Parts of such a key: prefix, host, incarnation, organisation, stage.
const KEY_PARTS: usize = 5;
/// Position of the organisation among the parts.
const ORGANISATION_PART: usize = 3;

/// Running totals of one process.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::id::Incarnation;
/// use amaranthscale_core::process::CostTracker;
/// use amaranthscale_core::wire::StageCost;
///
/// let mut tracker = CostTracker::new("host-1".parse().unwrap(), Incarnation::new(9));
/// let cost = StageCost { queue_ms: 5, server_ms: 80, tokens: 0 };
/// tracker.record(&"delta-basin".parse().unwrap(), "rerank", &cost, true);
/// let row = tracker.rows().next().unwrap();
/// assert_eq!(row.key, "cost/host-1/9/delta-basin/rerank");
/// ```
#[derive(Debug)]
pub struct CostTracker {
    host: HostId,
    incarnation: Incarnation,
    totals: BTreeMap<CostKey, CostTotals>,
}

impl CostTracker {
    /// An empty tracker of one incarnation.
    #[must_use]
    pub const fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            totals: BTreeMap::new(),
        }
    }

    /// Adds the cost of one attempt.
    pub fn record(
        &mut self,
        organisation: &OrganisationId,
        stage: &str,
        cost: &StageCost,
        is_useful: bool,
    ) {
        let key = CostKey {
            organisation: organisation.clone(),
            stage: stage.to_owned(),
        };
        self.totals.entry(key).or_default().add(cost, is_useful);
    }

    /// All totals, in order of their keys.
    pub fn totals(&self) -> impl Iterator<Item = (&CostKey, &CostTotals)> {
        self.totals.iter()
    }

    /// Rows for the platform's table; writing a row twice has no further effect.
    ///
    /// # Panics
    ///
    /// Never: a structure of numbers always serialises.
    pub fn rows(&self) -> impl Iterator<Item = RowWrite> {
        self.totals.iter().map(|(key, totals)| RowWrite {
            key: format!("{KEY_PREFIX}/{}/{}/{key}", self.host, self.incarnation),
            value: serde_json::to_string(totals).expect("numbers always serialise"),
        })
    }
}

/// Sums the rows of all processes by organisation.
///
/// A row that was read twice counts once, in its highest version; other rows are ignored.
pub fn sum_by_organisation<'a>(
    rows: impl IntoIterator<Item = &'a Row>,
) -> BTreeMap<OrganisationId, CostTotals> {
    let mut latest: BTreeMap<&str, (RowVersion, &Row)> = BTreeMap::new();
    for row in rows {
        let known = latest.entry(&row.key).or_insert((row.version, row));
        if row.version > known.0 {
            *known = (row.version, row);
        }
    }
    let mut sums: BTreeMap<OrganisationId, CostTotals> = BTreeMap::new();
    for (_, row) in latest.into_values() {
        if let Some((organisation, totals)) = parse_row(row) {
            sums.entry(organisation).or_default().add_totals(&totals);
        }
    }
    sums
}

fn parse_row(row: &Row) -> Option<(OrganisationId, CostTotals)> {
    let parts: Vec<_> = row.key.splitn(KEY_PARTS, '/').collect();
    if parts.len() != KEY_PARTS || parts[0] != KEY_PREFIX {
        return None;
    }
    let organisation = parts[ORGANISATION_PART].parse().ok()?;
    let totals = serde_json::from_str(&row.value).ok()?;
    Some((organisation, totals))
}

//! What a run came to.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Share of paid requests fully answered within their deadline.
    pub paid_attainment: f64,
    /// The same of trial requests.
    pub trial_attainment: f64,
    /// Server time of work that no request answered in time used, as a share of all.
    pub wasted_share: f64,
    /// Share of calls that may not be repeated, answered within their deadline.
    pub settle_attainment: f64,
    /// Share of those calls that were refused and truly not run.
    pub settle_refused_share: f64,
    /// Share of those calls whose outcome stayed unknown.
    pub settle_unknown_share: f64,
    /// Attainment of the organisation that floods; the paid figure leaves it out.
    pub flood_attainment: f64,
    /// Retries per request.
    pub retries_per_request: f64,
    /// Paid attainment of the worst second.
    pub worst_second: f64,
    /// Seconds from the end of the cause until paid attainment stays at its goal.
    pub recovery_s: f64,
    /// Final answers to paid requests, by number of their result code.
    pub paid_answers: BTreeMap<u16, u64>,
    /// Paid attainment by second of arrival.
    pub paid_by_second: Vec<f64>,
}

/// A figure that tables show.
#[derive(Debug, Clone, Copy)]
pub(super) struct Column {
    /// Head of the column, and key in JSON.
    pub(super) name: &'static str,
    /// Reads it from a run's figures.
    pub(super) read: fn(&Figures) -> f64,
}

/// Every figure but the series.
pub(super) const COLUMNS: [Column; 10] = [
    Column {
        name: "paid_attainment",
        read: |figures| figures.paid_attainment,
    },
    Column {
        name: "trial_attainment",
        read: |figures| figures.trial_attainment,
    },
    Column {
        name: "wasted_share",
        read: |figures| figures.wasted_share,
    },
    Column {
        name: "settle_attainment",
        read: |figures| figures.settle_attainment,
    },
    Column {
        name: "settle_refused_share",
        read: |figures| figures.settle_refused_share,
    },
    Column {
        name: "settle_unknown_share",
        read: |figures| figures.settle_unknown_share,
    },
    Column {
        name: "flood_attainment",
        read: |figures| figures.flood_attainment,
    },
    Column {
        name: "retries_per_request",
        read: |figures| figures.retries_per_request,
    },
    Column {
        name: "worst_second",
        read: |figures| figures.worst_second,
    },
    Column {
        name: "recovery_s",
        read: |figures| figures.recovery_s,
    },
];

//! Results of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Share of paid requests fully answered within their deadline.
    pub paid_attainment: f64,
    /// Share of trial requests fully answered within their deadline.
    pub trial_attainment: f64,
    /// Share of server time spent on work that was not used by a request answered in time.
    pub wasted_share: f64,
    /// Share of calls that must not be repeated, answered within their deadline.
    pub settle_attainment: f64,
    /// Share of those calls that were refused without having run.
    pub settle_refused_share: f64,
    /// Share of those calls whose outcome remained unknown.
    pub settle_unknown_share: f64,
    /// Attainment of the flooding organisation, which `paid_attainment` excludes.
    pub flood_attainment: f64,
    /// Retries per request.
    pub retries_per_request: f64,
    /// Paid attainment of the worst second.
    pub worst_second: f64,
    /// Seconds from the end of the cause until paid attainment stays at its goal or above.
    pub recovery_s: f64,
    /// Final answers to paid requests, by number of their result code.
    pub paid_answers: BTreeMap<u16, u64>,
    /// Paid attainment by second of arrival.
    pub paid_by_second: Vec<f64>,
}

/// A column of the result tables.
#[derive(Debug, Clone, Copy)]
pub(super) struct Column {
    /// Header of the column, and key in JSON.
    pub(super) name: &'static str,
    /// Reads the value from a run's figures.
    pub(super) read: fn(&Figures) -> f64,
}

/// All figures except the maps and series.
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

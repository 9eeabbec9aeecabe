//! Tables and JSON of the results of runs.

use std::fmt::Write as _;

use serde_json::{Map, Value, json};

use super::figures::COLUMNS;
use super::summary::{Spread, Summary};
use super::{Deployment, Scenario};

/// Results of one scenario in all requested variants.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) deployment: Deployment,
    pub(super) scenario: Scenario,
    pub(super) first_seed: u64,
    pub(super) summaries: Vec<Summary>,
}

impl Report {
    /// One JSON object.
    pub(super) fn to_json(&self) -> Value {
        let mut object = Map::new();
        object.insert("deployment".into(), json!(self.deployment.name));
        object.insert("scenario".into(), json!(self.scenario.name()));
        object.insert("seed".into(), json!(self.first_seed));
        object.insert("seeds".into(), json!(self.summaries[0].runs.len()));
        for summary in &self.summaries {
            object.insert(summary.variant.clone(), summary.to_json());
        }
        Value::Object(object)
    }

    /// A table in Markdown.
    pub(super) fn to_table(&self) -> String {
        let mut table = format!("{} {}\n\n| variant |", self.deployment, self.scenario);
        for column in COLUMNS {
            let _ = write!(table, " {} |", column.name);
        }
        table.push_str("\n|---|");
        table.push_str(&"---:|".repeat(COLUMNS.len()));
        for summary in &self.summaries {
            let _ = write!(table, "\n| {} |", summary.variant);
            for column in COLUMNS {
                let _ = write!(table, " {} |", cell(summary.spread(column), column.name));
            }
        }
        table.push('\n');
        table
    }
}

fn cell(spread: Spread, name: &str) -> String {
    let is_plain = name.ends_with("_s") || name.ends_with("per_request");
    let show = |value: f64| {
        if is_plain {
            format!("{value:.2}")
        } else {
            format!("{:.1}%", value * 100.0)
        }
    };
    let Spread { median, min, max } = spread;
    if min.total_cmp(&max).is_eq() {
        return show(median);
    }
    format!("{} ({}–{})", show(median), show(min), show(max))
}

//! Figures over many seeds.

use serde::Serialize;
use serde_json::{Map, Value, json};

use super::Figures;
use super::figures::{COLUMNS, Column};

/// Median and range of one figure.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Spread {
    /// Median over the seeds.
    pub median: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

/// Figures of one variant over its seeds.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Name of the variant.
    pub variant: String,
    /// One run for each seed.
    pub runs: Vec<Figures>,
}

impl Summary {
    /// Median and range of a figure.
    pub(super) fn spread(&self, column: Column) -> Spread {
        let mut values: Vec<_> = self.runs.iter().map(column.read).collect();
        values.sort_by(f64::total_cmp);
        Spread {
            median: values[values.len() / 2],
            min: values[0],
            max: values[values.len() - 1],
        }
    }

    /// Figures as JSON: plain numbers for one seed, spreads for several.
    pub(super) fn to_json(&self) -> Value {
        let value = |column: Column| {
            let spread = self.spread(column);
            if self.runs.len() == 1 {
                json!(spread.median)
            } else {
                json!(spread)
            }
        };
        let fields = COLUMNS.map(|column| (column.name.to_owned(), value(column)));
        let mut object: Map<_, _> = fields.into_iter().collect();
        if let [run] = self.runs.as_slice() {
            object.insert("paid_answers".to_owned(), json!(run.paid_answers));
            object.insert("paid_by_second".to_owned(), json!(run.paid_by_second));
        }
        Value::Object(object)
    }
}

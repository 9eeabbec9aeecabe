//! Cost by stage, as entries report it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use amaranthscale_core::process::CostTotals;
use serde::Deserialize;

use crate::http::{HttpClient, HttpError};

/// Cost by stage, summed over entries and organisations.
#[derive(Debug, Default)]
pub(super) struct StageCosts {
    by_stage: BTreeMap<String, CostTotals>,
}

#[derive(Debug, Deserialize)]
struct Status {
    decisions: Decisions,
}

#[derive(Debug, Deserialize)]
struct Decisions {
    costs: Vec<CostLine>,
}

#[derive(Debug, Deserialize)]
struct CostLine {
    stage: String,
    #[serde(flatten)]
    totals: CostTotals,
}

impl StageCosts {
    /// Reads the costs from the entries' `/status`.
    pub(super) async fn read(entries: &[SocketAddr]) -> Result<Self, HttpError> {
        let http = HttpClient::new();
        let mut costs = Self::default();
        for entry in entries {
            let status: Status = http.get_json(format!("http://{entry}/status")).await?;
            for line in status.decisions.costs {
                let totals = costs.by_stage.entry(line.stage).or_default();
                totals.add_totals(&line.totals);
            }
        }
        Ok(costs)
    }

    /// The costs added since an earlier reading.
    pub(super) fn since(&self, before: &Self) -> Self {
        let increases = self.by_stage.iter().map(|(stage, totals)| {
            let earlier = before.by_stage.get(stage).copied().unwrap_or_default();
            (stage.clone(), difference(totals, &earlier))
        });
        Self {
            by_stage: increases.collect(),
        }
    }
}

impl fmt::Display for StageCosts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cost by stage, useful / wasted:")?;
        for (stage, totals) in &self.by_stage {
            write!(
                f,
                "\n  {stage:16} attempts {} / {}, server {} / {} ms, tokens {} / {}, queue {} ms",
                totals.useful_attempts,
                totals.wasted_attempts,
                totals.useful_server_ms,
                totals.wasted_server_ms,
                totals.useful_tokens,
                totals.wasted_tokens,
                totals.queue_ms,
            )?;
        }
        Ok(())
    }
}

/// Saturates at 0, as an entry that restarted in between counts from 0 again.
const fn difference(now: &CostTotals, before: &CostTotals) -> CostTotals {
    CostTotals {
        useful_attempts: now.useful_attempts.saturating_sub(before.useful_attempts),
        wasted_attempts: now.wasted_attempts.saturating_sub(before.wasted_attempts),
        queue_ms: now.queue_ms.saturating_sub(before.queue_ms),
        useful_server_ms: now.useful_server_ms.saturating_sub(before.useful_server_ms),
        wasted_server_ms: now.wasted_server_ms.saturating_sub(before.wasted_server_ms),
        useful_tokens: now.useful_tokens.saturating_sub(before.useful_tokens),
        wasted_tokens: now.wasted_tokens.saturating_sub(before.wasted_tokens),
    }
}

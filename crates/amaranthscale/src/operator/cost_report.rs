//! What each stage has cost each organisation.

use amaranthscale_core::id::{OrganisationId, PipelineId, ServiceId, StageName};
use amaranthscale_core::wire::StageCost;
use serde::{Deserialize, Serialize};

/// Cost by organisation and stage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostReport {
    /// One row for each organisation and stage.
    pub rows: Vec<CostRow>,
}

/// Cost of one stage for one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CostRow {
    /// Organisation that the work was for.
    pub organisation: OrganisationId,
    /// Pipeline and stage; none for a direct call of a service.
    pub stage: Option<(PipelineId, StageName)>,
    /// Service that did the work.
    pub service: ServiceId,
    /// Attempts whose result was used.
    pub useful: StageCost,
    /// Attempts whose result was not used: retries, hedges and late answers.
    pub wasted: StageCost,
}

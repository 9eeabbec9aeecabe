//! Input of a stage, and the messages built from it.

use std::time::Duration;

use amaranthscale_core::id::{AttemptId, AttemptNumber, HostId, RequestId, ServiceId, StageIndex};
use amaranthscale_core::unit::TimeBudget;
use amaranthscale_core::version::Stage;
use amaranthscale_core::wire::Dispatch;
use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::{CallerRequest, TokenText};
use crate::entry::process::{AttemptKind, EntryContext, ObservedSidecar, RouteQuery};

/// Fraction of the remaining time that is withheld from an attempt, so that its end frame arrives
/// before the request's deadline and shows whether it ran.
const MARGIN_DIVISOR: u32 = 20;
/// Maximum time withheld from an attempt for its end frame.
const LONGEST_MARGIN: Duration = Duration::from_millis(50);

/// Input of a stage.
#[derive(Debug, Clone)]
pub struct StageTask<'a> {
    /// Request that the stage belongs to.
    pub request: &'a CallerRequest,
    /// Id of that request.
    pub request_id: RequestId,
    /// Position of the stage in the request.
    pub index: StageIndex,
    /// Settings of the stage.
    pub stage: &'a Stage,
    /// The stages after it.
    pub later_stages: &'a [Stage],
    /// Body for the backend server.
    pub input: Bytes,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Host of this entry.
    pub entry: &'a HostId,
    /// Receives tokens as they arrive, if the caller wants them streamed.
    pub tokens: Option<&'a UnboundedSender<TokenText>>,
}

impl StageTask<'_> {
    /// The query for the sidecar of an attempt.
    #[must_use]
    pub fn route_query(&self, exclude: Vec<HostId>, kind: AttemptKind) -> RouteQuery {
        RouteQuery {
            service: self.stage.service.clone(),
            later_services: self.later_services(),
            class: self.request.class,
            exclude,
            affinity: self.request.affinity,
            kind,
            is_repeatable: self.stage.is_repeatable,
            deadline: self.deadline,
        }
    }

    /// The dispatch message of an attempt, without a claim and starting at the first token.
    ///
    /// Its expiry reserves the estimated time of the later stages, so that the sidecar does not
    /// start queued work that would end too late for them. Started work may use all of the
    /// remaining time, because the later stages may be faster than estimated.
    #[must_use]
    pub fn dispatch(
        &self,
        context: &EntryContext,
        number: AttemptNumber,
        observed: ObservedSidecar,
        stage_deadline: Instant,
    ) -> Dispatch {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let margin = LONGEST_MARGIN.min(left / MARGIN_DIVISOR);
        let budget = TimeBudget::new(left.saturating_sub(margin));
        let stage_left = stage_deadline.saturating_duration_since(now);
        let request = self.request;
        Dispatch {
            attempt: AttemptId {
                request: self.request_id,
                stage: self.index,
                number,
            },
            incarnation: observed.incarnation,
            expiry: observed.clock.plus(budget.duration().min(stage_left)),
            budget,
            organisation: request.organisation.clone(),
            class: request.class,
            weight: request.weight,
            service: self.stage.service.clone(),
            path: self.stage.path.clone(),
            claim: None,
            resume_token: 0,
            tree_version: context.tree.borrow().version(),
            input: self.input.to_vec(),
        }
    }

    fn later_services(&self) -> Vec<ServiceId> {
        let services = self.later_stages.iter().map(|stage| &stage.service);
        services.cloned().collect()
    }
}

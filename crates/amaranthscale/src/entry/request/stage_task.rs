//! What a stage works on, and the messages that follow from it.

use std::time::Duration;

use amaranthscale_core::id::{AttemptId, AttemptNumber, HostId, RequestId, ServiceId, StageIndex};
use amaranthscale_core::unit::TimeBudget;
use amaranthscale_core::version::Stage;
use amaranthscale_core::wire::Dispatch;
use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::{CallerRequest, TokenText};
use crate::entry::process::{AttemptKind, EntryParts, KnownSidecar, RouteQuestion};

/// Part of the remaining time that an attempt may not use, so that its own end arrives before the
/// request's deadline and says whether it ran.
const MARGIN_DIVISOR: u32 = 20;
/// Longest time kept back for an attempt's own end.
const LONGEST_MARGIN: Duration = Duration::from_millis(50);

/// What a stage works on.
#[derive(Debug, Clone)]
pub struct StageTask<'a> {
    /// Request that the stage belongs to.
    pub request: &'a CallerRequest,
    /// Id of that request.
    pub request_id: RequestId,
    /// Position of the stage.
    pub index: StageIndex,
    /// The stage.
    pub stage: &'a Stage,
    /// The stages after it.
    pub later: &'a [Stage],
    /// Body for the backend server.
    pub input: Bytes,
    /// When the request's answer is due.
    pub due: Instant,
    /// Host of this entry.
    pub entry: &'a HostId,
    /// Takes tokens as they come, if the caller wants them.
    pub tokens: Option<&'a UnboundedSender<TokenText>>,
}

impl StageTask<'_> {
    /// The question for the sidecar of an attempt.
    #[must_use]
    pub fn route_question(&self, exclude: Vec<HostId>, kind: AttemptKind) -> RouteQuestion {
        RouteQuestion {
            service: self.stage.service.clone(),
            later: self.later_services(),
            class: self.request.class,
            exclude,
            affinity: self.request.affinity,
            kind,
            is_repeatable: self.stage.is_repeatable,
            due: self.due,
        }
    }

    /// The message of an attempt, without a claim and from the first token on.
    ///
    /// Its expiry leaves the later stages their time, so that the sidecar's queue starts nothing
    /// whose answer would come too late for them. What has started may use the whole rest: the
    /// later stages may turn out quicker than estimated.
    #[must_use]
    pub fn dispatch(
        &self,
        parts: &EntryParts,
        number: AttemptNumber,
        known: KnownSidecar,
        stage_due: Instant,
    ) -> Dispatch {
        let now = Instant::now();
        let left = self.due.saturating_duration_since(now);
        let margin = LONGEST_MARGIN.min(left / MARGIN_DIVISOR);
        let budget = TimeBudget::new(left.saturating_sub(margin));
        let stage_left = stage_due.saturating_duration_since(now);
        let request = self.request;
        Dispatch {
            attempt: AttemptId {
                request: self.request_id,
                stage: self.index,
                number,
            },
            incarnation: known.incarnation,
            expiry: known.clock.plus(budget.duration().min(stage_left)),
            budget,
            organisation: request.organisation.clone(),
            class: request.class,
            weight: request.weight,
            service: self.stage.service.clone(),
            path: self.stage.path.clone(),
            claim: None,
            resume_token: 0,
            tree_version: parts.tree.borrow().version(),
            input: self.input.to_vec(),
        }
    }

    fn later_services(&self) -> Vec<ServiceId> {
        let services = self.later.iter().map(|stage| &stage.service);
        services.cloned().collect()
    }
}

//! One request, from admission to its final answer.

use amaranthscale_core::id::{HostId, RequestId, StageIndex};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use log::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::stage_run::StageRun;
use super::stage_task::StageTask;
use super::{Answer, CallerRequest, Target, TokenText, stage_input};
use crate::entry::process::{AdmissionQuery, DecisionsMessage, EntryContext};

/// Runs the stages of a request.
#[derive(Debug)]
pub struct RequestRun<'a> {
    context: &'a EntryContext,
    entry: &'a HostId,
    id: RequestId,
    request: &'a CallerRequest,
    deadline: Instant,
    tokens: Option<&'a UnboundedSender<TokenText>>,
}

impl<'a> RequestRun<'a> {
    /// Prepares the run of a request that arrived at this instant.
    #[must_use]
    pub fn new(
        context: &'a EntryContext,
        entry: &'a HostId,
        id: RequestId,
        request: &'a CallerRequest,
        arrived: Instant,
    ) -> Self {
        let deadline = arrived + request.budget.duration();
        Self {
            context,
            entry,
            id,
            request,
            deadline,
            tokens: None,
        }
    }

    /// Sends the tokens of the last stage to a channel as they arrive.
    #[must_use]
    pub const fn streaming_to(mut self, tokens: &'a UnboundedSender<TokenText>) -> Self {
        self.tokens = Some(tokens);
        self
    }

    /// Admits the request, runs its stages in order and returns the final answer.
    pub async fn to_answer(self) -> Answer {
        let query = self.admission_query();
        let mut admitted = match self.context.decisions.admit(query).await {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let counters = &self.context.counters;
                counters.count_reason("admission.refused", refusal.code.name());
                return refusal.into();
            }
        };
        let mut guard = RequestGuard::new(self.context, self.request);
        admitted.commit();
        let answer = self.stages().await;
        debug!("entry: {} ended with {}", self.id, answer.code);
        guard.report_end(answer.code);
        answer
    }

    async fn stages(&self) -> Answer {
        let mut previous: Option<Bytes> = None;
        let mut last = Answer::from_code(ResultCode::UnknownPipeline);
        for (position, stage) in self.request.stages.iter().enumerate() {
            let index = u8::try_from(position).unwrap_or(u8::MAX);
            let is_last = position + 1 == self.request.stages.len();
            let task = StageTask {
                request: self.request,
                request_id: self.id,
                index: StageIndex::new(index),
                stage,
                later_stages: &self.request.stages[position + 1..],
                input: self.input(previous.as_ref()),
                deadline: self.deadline,
                entry: self.entry,
                tokens: self.tokens.filter(|_| is_last),
            };
            last = Box::pin(StageRun::new(self.context, task).run()).await;
            if last.code != ResultCode::Complete {
                return after_earlier_stages(last, position);
            }
            previous = Some(last.result.clone());
        }
        last
    }

    fn input(&self, previous: Option<&Bytes>) -> Bytes {
        match self.request.target {
            Target::Pipeline(_) => stage_input(&self.request.body, previous),
            Target::Service(_) => self.request.body.clone(),
        }
    }

    fn admission_query(&self) -> AdmissionQuery {
        let request = self.request;
        AdmissionQuery {
            organisation: request.organisation.clone(),
            class: request.class,
            limit_per_second: request.limit_per_second,
            max_in_flight: request.max_in_flight,
            services: request
                .stages
                .iter()
                .map(|stage| stage.service.clone())
                .collect(),
            budget: request.budget,
        }
    }
}

/// Replaces a code that means "not run" if earlier stages of the request ran.
fn after_earlier_stages(answer: Answer, stages_done: usize) -> Answer {
    if stages_done > 0 && answer.code.ran() == Ran::No {
        return Answer {
            code: ResultCode::StageRefused,
            ..answer
        };
    }
    answer
}

/// Reports the end of a request, also when its caller has disconnected.
#[derive(Debug)]
struct RequestGuard<'a> {
    context: &'a EntryContext,
    request: &'a CallerRequest,
    is_ended: bool,
}

impl<'a> RequestGuard<'a> {
    const fn new(context: &'a EntryContext, request: &'a CallerRequest) -> Self {
        Self {
            context,
            request,
            is_ended: false,
        }
    }

    fn report_end(&mut self, code: ResultCode) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        self.context.counters.count_reason("answer", code.name());
        let organisation = self.request.organisation.clone();
        let ended = DecisionsMessage::RequestEnded(organisation, self.request.class, code);
        self.context.decisions.send(ended);
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.report_end(ResultCode::Cancelled);
    }
}

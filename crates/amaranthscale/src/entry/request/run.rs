//! One request, from admission to its one final answer.

use amaranthscale_core::id::{HostId, RequestId, StageIndex};
use amaranthscale_core::{Ran, ResultCode};
use bytes::Bytes;
use log::debug;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::stage_run::StageRun;
use super::stage_task::StageTask;
use super::{Answer, CallerRequest, Target, TokenText, stage_input};
use crate::entry::process::{AdmissionQuestion, Decision, EntryParts};

/// A request on its way through its stages.
#[derive(Debug)]
pub struct Run<'a> {
    parts: &'a EntryParts,
    entry: &'a HostId,
    id: RequestId,
    request: &'a CallerRequest,
    due: Instant,
    tokens: Option<&'a UnboundedSender<TokenText>>,
}

impl<'a> Run<'a> {
    /// Prepares a request that arrived at an instant.
    #[must_use]
    pub fn new(
        parts: &'a EntryParts,
        entry: &'a HostId,
        id: RequestId,
        request: &'a CallerRequest,
        arrived: Instant,
    ) -> Self {
        let due = arrived + request.budget.duration();
        Self {
            parts,
            entry,
            id,
            request,
            due,
            tokens: None,
        }
    }

    /// Sends tokens of the last stage as they come.
    #[must_use]
    pub const fn streaming_to(mut self, tokens: &'a UnboundedSender<TokenText>) -> Self {
        self.tokens = Some(tokens);
        self
    }

    /// Admits the request, runs its stages in order and gives the final answer.
    pub async fn to_answer(self) -> Answer {
        let question = self.admission_question();
        let mut admitted = match self.parts.decisions.admit(question).await {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let counters = &self.parts.counters;
                counters.count_reason("admission.refused", refusal.code.name());
                return refusal.into();
            }
        };
        let mut watch = RequestWatch::new(self.parts, self.request);
        admitted.keep();
        let answer = self.stages().await;
        debug!("entry: {} ends with {}", self.id, answer.code);
        watch.ended(answer.code);
        answer
    }

    async fn stages(&self) -> Answer {
        let mut previous: Option<Bytes> = None;
        let mut last = Answer::of_code(ResultCode::UnknownPipeline);
        for (position, stage) in self.request.stages.iter().enumerate() {
            let index = u8::try_from(position).unwrap_or(u8::MAX);
            let is_last = position + 1 == self.request.stages.len();
            let task = StageTask {
                request: self.request,
                request_id: self.id,
                index: StageIndex::new(index),
                stage,
                later: &self.request.stages[position + 1..],
                input: self.input(previous.as_ref()),
                due: self.due,
                entry: self.entry,
                tokens: self.tokens.filter(|_| is_last),
            };
            last = Box::pin(StageRun::new(self.parts, task).run()).await;
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

    fn admission_question(&self) -> AdmissionQuestion {
        let request = self.request;
        AdmissionQuestion {
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

/// Guards against saying "not run" of a request whose earlier stages ran.
fn after_earlier_stages(answer: Answer, stages_done: usize) -> Answer {
    if stages_done > 0 && answer.code.ran() == Ran::No {
        return Answer {
            code: ResultCode::StageRefused,
            ..answer
        };
    }
    answer
}

/// Reports the end of a request, also when its caller went away.
#[derive(Debug)]
struct RequestWatch<'a> {
    parts: &'a EntryParts,
    request: &'a CallerRequest,
    is_ended: bool,
}

impl<'a> RequestWatch<'a> {
    const fn new(parts: &'a EntryParts, request: &'a CallerRequest) -> Self {
        Self {
            parts,
            request,
            is_ended: false,
        }
    }

    fn ended(&mut self, code: ResultCode) {
        if self.is_ended {
            return;
        }
        self.is_ended = true;
        self.parts.counters.count_reason("answer", code.name());
        let organisation = self.request.organisation.clone();
        let ended = Decision::RequestEnded(organisation, self.request.class, code);
        self.parts.decisions.tell(ended);
    }
}

impl Drop for RequestWatch<'_> {
    fn drop(&mut self) {
        self.ended(ResultCode::Cancelled);
    }
}

//! A second attempt beside a slow first one.
//!
//! A straggler holds up a request whose work another backend server would do at once. After the
//! usual time of nearly all attempts, a second one goes to another host, and the first complete
//! result is the stage's. Only for work that may be repeated and whose result comes whole: two
//! attempts are two calls, and their tokens would mix.

use std::pin::Pin;
use std::time::Duration;

use amaranthscale_core::id::{AttemptNumber, HostId};
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::StageCost;
use tokio::time::sleep;

use super::attempt_watch::AttemptWatch;
use super::sent_attempt::{EndedAttempt, SentAttempt};
use super::sidecar_hello::known_sidecar;
use super::stage_task::StageTask;
use crate::entry::process::{AttemptKind, EntryParts, Route};

/// An attempt under way.
type Running<'a> = Pin<Box<dyn Future<Output = EndedAttempt> + Send + 'a>>;
/// An attempt under way; none if it could not be sent.
type MaybeRunning<'a> = Pin<Box<dyn Future<Output = Option<EndedAttempt>> + Send + 'a>>;

/// Runs an attempt, with a second one beside it once it takes long.
#[derive(Debug)]
pub struct HedgedAttempt<'a> {
    parts: &'a EntryParts,
    task: &'a StageTask<'a>,
    number: AttemptNumber,
    tried: Vec<HostId>,
}

/// How the two attempts ended; there may have been only one.
#[derive(Debug)]
pub struct HedgedEnd {
    /// The attempt that counts.
    pub ended: EndedAttempt,
    /// Host of the second attempt, if one was chosen.
    pub hedge_host: Option<HostId>,
    /// Whether the attempt that does not count failed and may have run.
    pub has_other_run: bool,
}

impl<'a> HedgedAttempt<'a> {
    /// Prepares a second attempt of this number, outside the hosts that were tried.
    #[must_use]
    pub const fn new(
        parts: &'a EntryParts,
        task: &'a StageTask<'a>,
        number: AttemptNumber,
        tried: Vec<HostId>,
    ) -> Self {
        Self {
            parts,
            task,
            number,
            tried,
        }
    }

    /// Runs the first attempt, and the second one beside it after a delay.
    pub async fn run(self, first: SentAttempt<'a>, delay: Duration) -> HedgedEnd {
        let mut first: Running<'_> = Box::pin(first.run(|_data: &[u8]| {}));
        tokio::select! {
            ended = &mut first => return HedgedEnd::alone(ended),
            () = sleep(delay) => {}
        }
        // Asked beside nothing else: dropped half-way, the question would leave its host counted as
        // in flight for good. The answer comes from this very process.
        let Some(route) = self.route().await else {
            return HedgedEnd::alone(first.await);
        };
        let hedge_host = route.host.clone();
        let (ended, has_other_run) = race(first, Box::pin(self.send(route))).await;
        if ended.is_complete() && ended.host == hedge_host {
            self.parts.counters.count("hedge.won");
        }
        HedgedEnd {
            ended,
            hedge_host: Some(hedge_host),
            has_other_run,
        }
    }

    async fn route(&self) -> Option<Route> {
        let tried = self.tried.clone();
        let question = self.task.route_question(tried, AttemptKind::Hedge);
        let refusal = match self.parts.decisions.route(question).await {
            Ok(route) => return Some(route),
            Err(refusal) => refusal,
        };
        let counters = &self.parts.counters;
        counters.count_reason("hedge.refused", refusal.code.name());
        None
    }

    async fn send(&self, mut route: Route) -> Option<EndedAttempt> {
        let mut watch = AttemptWatch::new(self.parts, self.task, &mut route);
        let Some(known) = known_sidecar(self.parts, self.task, &route).await else {
            watch.ended(AttemptEnd::TimedOut, None, StageCost::default());
            return None;
        };
        let task = self.task;
        let dispatch = task.dispatch(self.parts, self.number, known, route.stage_due);
        self.parts.counters.count("hedge.sent");
        let sent = SentAttempt::new(self.parts, task, &route, dispatch, watch);
        Some(sent.run(|_data: &[u8]| {}).await)
    }
}

impl HedgedEnd {
    const fn alone(ended: EndedAttempt) -> Self {
        Self {
            ended,
            hedge_host: None,
            has_other_run: false,
        }
    }
}

/// The attempt of two that counts, and whether the other one failed and may have run.
async fn race(mut first: Running<'_>, mut hedge: MaybeRunning<'_>) -> (EndedAttempt, bool) {
    tokio::select! {
        ended = &mut first => first_complete(ended, hedge).await,
        ended = &mut hedge => match ended {
            Some(ended) => first_complete(ended, async { Some(first.await) }).await,
            None => (first.await, false),
        },
    }
}

/// The earlier end if it is complete, or else the later one.
///
/// Guards against a straggler that goes on for nobody: the loser is dropped with its watch, which
/// reports it as cancelled and has its sidecar cancel the running work.
async fn first_complete(
    mut early: EndedAttempt,
    other: impl Future<Output = Option<EndedAttempt>>,
) -> (EndedAttempt, bool) {
    if early.is_complete() {
        return (early, false);
    }
    let Some(late) = other.await else {
        return (early, false);
    };
    early.report();
    (late, early.may_have_run())
}

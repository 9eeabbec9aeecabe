//! Hedging: a second attempt in parallel with a slow first one.
//!
//! A slow backend server delays a request that another one could serve at once. When an attempt
//! takes longer than nearly all others, a second one is sent to another host, and the first
//! complete result is used. Only repeatable stages that do not stream are hedged: two attempts are
//! two calls, and their tokens would be mixed.

use std::pin::Pin;
use std::time::Duration;

use amaranthscale_core::id::{AttemptNumber, HostId};
use amaranthscale_core::process::AttemptEnd;
use amaranthscale_core::wire::StageCost;
use tokio::time::sleep;

use super::attempt_guard::AttemptGuard;
use super::sent_attempt::{EndedAttempt, SentAttempt};
use super::sidecar_hello::observed_sidecar;
use super::stage_task::StageTask;
use crate::entry::process::{AttemptKind, EntryContext, Route};

/// A running attempt.
type Running<'a> = Pin<Box<dyn Future<Output = EndedAttempt> + Send + 'a>>;
/// A running attempt; `None` if it could not be sent.
type MaybeRunning<'a> = Pin<Box<dyn Future<Output = Option<EndedAttempt>> + Send + 'a>>;

/// Runs an attempt, and a second one in parallel once the first is slow.
#[derive(Debug)]
pub struct HedgedAttempt<'a> {
    context: &'a EntryContext,
    task: &'a StageTask<'a>,
    number: AttemptNumber,
    tried: Vec<HostId>,
}

/// Outcome of one or two parallel attempts.
#[derive(Debug)]
pub struct HedgedOutcome {
    /// The attempt whose outcome is used.
    pub ended: EndedAttempt,
    /// Host of the second attempt, if one was chosen.
    pub hedge_host: Option<HostId>,
    /// Whether the other attempt failed and may have run.
    pub has_other_run: bool,
}

impl<'a> HedgedAttempt<'a> {
    /// Prepares a second attempt with this number, at a host that was not tried.
    #[must_use]
    pub const fn new(
        context: &'a EntryContext,
        task: &'a StageTask<'a>,
        number: AttemptNumber,
        tried: Vec<HostId>,
    ) -> Self {
        Self {
            context,
            task,
            number,
            tried,
        }
    }

    /// Runs the first attempt, and after a delay the second one in parallel.
    pub async fn run(self, first: SentAttempt<'a>, delay: Duration) -> HedgedOutcome {
        let mut first: Running<'_> = Box::pin(first.run(|_data: &[u8]| {}));
        tokio::select! {
            ended = &mut first => return HedgedOutcome::without_hedge(ended),
            () = sleep(delay) => {}
        }
        // Awaited outside of `select!`: dropped half-way, the query would leave an attempt counted
        // as in flight at its host forever. The reply comes from this process, so the wait is
        // short.
        let Some(route) = self.route().await else {
            return HedgedOutcome::without_hedge(first.await);
        };
        let hedge_host = route.host.clone();
        let (ended, has_other_run) = race(first, Box::pin(self.send(route))).await;
        if ended.is_complete() && ended.host == hedge_host {
            self.context.counters.count("hedge.won");
        }
        HedgedOutcome {
            ended,
            hedge_host: Some(hedge_host),
            has_other_run,
        }
    }

    async fn route(&self) -> Option<Route> {
        let tried = self.tried.clone();
        let query = self.task.route_query(tried, AttemptKind::Hedge);
        let refusal = match self.context.decisions.route(query).await {
            Ok(route) => return Some(route),
            Err(refusal) => refusal,
        };
        let counters = &self.context.counters;
        counters.count_reason("hedge.refused", refusal.code.name());
        None
    }

    async fn send(&self, mut route: Route) -> Option<EndedAttempt> {
        let mut guard = AttemptGuard::new(self.context, self.task, &mut route);
        let Some(observed) = observed_sidecar(self.context, self.task, &route).await else {
            guard.report_end(AttemptEnd::TimedOut, None, StageCost::default());
            return None;
        };
        let task = self.task;
        let dispatch = task.dispatch(self.context, self.number, observed, route.stage_deadline);
        self.context.counters.count("hedge.sent");
        let sent = SentAttempt::new(self.context, task, &route, dispatch, guard);
        Some(sent.run(|_data: &[u8]| {}).await)
    }
}

impl HedgedOutcome {
    const fn without_hedge(ended: EndedAttempt) -> Self {
        Self {
            ended,
            hedge_host: None,
            has_other_run: false,
        }
    }
}

/// The attempt of two that is used, and whether the other one failed and may have run.
async fn race(mut first: Running<'_>, mut hedge: MaybeRunning<'_>) -> (EndedAttempt, bool) {
    tokio::select! {
        ended = &mut first => first_complete(ended, hedge).await,
        ended = &mut hedge => match ended {
            Some(ended) => first_complete(ended, async { Some(first.await) }).await,
            None => (first.await, false),
        },
    }
}

/// The attempt that ended first if it is complete, or else the other one.
///
/// The slower attempt is dropped with its guard, which reports it as cancelled and asks its sidecar
/// to cancel the work.
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

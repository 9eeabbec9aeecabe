//! Moves runs between engines.

use std::sync::Arc;
use std::time::Duration;

use amaranthscale_core::id::CallId;
use amaranthscale_core::process::{
    BegunMove, ConnectionShare, CopyHandle, MoveAnswer, MoveReason, ServerRecord,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use log::{debug, info};
use quick_error::quick_error;
use tokio::sync::oneshot;

use super::super::super::Feature;
use super::super::super::connection::ServerAnswer;
use super::super::{GatewayContext, MovingRunGuard, SendPermit};
use super::MovableRun;
use crate::connection::{SendError, read_body};

/// Timeout of a call that copies a run; a copy takes some milliseconds, between zones twice as many.
const MOVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call that frees a copy; engines expire copies that were not freed.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer, which has one handle.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// A move that counts as active until this is dropped.
#[derive(Debug)]
struct ActiveMove {
    context: Arc<GatewayContext>,
    source: ServerRecord,
    target: ServerRecord,
    reason: MoveReason,
    _counted: MovingRunGuard,
}

/// A copy of a run at another engine, which is freed when this is dropped unless it was used.
#[derive(Debug)]
pub struct HeldCopy {
    context: Arc<GatewayContext>,
    /// The engine that made the copy.
    pub source: ServerRecord,
    /// The engine that has it.
    pub target: ServerRecord,
    /// Names the copy at both.
    pub handle: CopyHandle,
    /// Why the run is moved.
    pub reason: MoveReason,
    is_used: bool,
}

impl HeldCopy {
    /// Records that an engine has continued the run from the copy.
    pub fn mark_used(mut self) {
        self.is_used = true;
    }
}

impl Drop for HeldCopy {
    fn drop(&mut self) {
        // Without a runtime the process ends, and the engines expire the copy.
        if !self.is_used
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            let (context, source) = (Arc::clone(&self.context), self.source.clone());
            let request = (context.dialect.free_copy_request)(&self.handle);
            runtime.spawn(async move { context.free_copy(&source, request).await });
        }
    }
}

/// How a move ended.
#[derive(Debug)]
pub enum MoveEnd {
    /// The run has stopped, or may have, and continues from the copy.
    Stopped {
        /// The copy.
        copy: Box<HeldCopy>,
        /// Events that the run has sent, if its engine has told.
        events: Option<u64>,
    },
    /// The run goes on where it is.
    Continues(&'static str),
}

impl GatewayContext {
    /// Begins to move a run if there is a reason to, which is returned with the move's end. Takes a
    /// retry from the budget.
    pub fn begin_move(
        self: &Arc<Self>,
        run: &MovableRun<'_>,
    ) -> Option<(MoveReason, oneshot::Receiver<MoveEnd>)> {
        let transfer = self.transfer_spec(run.service)?;
        if !transfer.can_move || !self.features.is_enabled(Feature::RunMove) {
            return None;
        }
        let now = self.cluster_view.clock().now();
        let planned = self.plan_move(run, &transfer, now)?;
        if !self.try_retry(run.service) {
            return None;
        }
        let (source, target, reason) = (planned.source, planned.target, planned.reason);
        let call = &run.attributes.call;
        let counted = self.moving_runs.try_begin(BegunMove {
            call: call.clone(),
            from: source.incarnation.clone(),
            to: target.incarnation.clone(),
            reason,
            began_at: now,
        })?;
        self.counters.count("moves.begun");
        self.counters.count_reason("moves.begun", reason);
        let active = ActiveMove {
            context: Arc::clone(self),
            source,
            target,
            reason,
            _counted: counted,
        };
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(move_run(active, call.clone(), sender));
        Some((reason, receiver))
    }

    /// Sends a call about a copy to the engine that made it, which may be leaving.
    async fn call_engine(
        &self,
        engine: &ServerRecord,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let connection = self.pool.connection(engine).await;
        let mut connection = connection.map_err(|_error| CallError::NotSent)?;
        let now = self.cluster_view.clock().now();
        let availability = {
            let servers = self.cluster_view.servers();
            servers.availability(&engine.incarnation, None, now)
        };
        let permit = SendPermit::check_copy_call(availability);
        let permit = permit.map_err(|_availability| CallError::NotSent)?;
        let sent = connection.send(request, permit).await;
        let ServerAnswer { head, body, .. } = sent.map_err(|error| match error {
            SendError::NotSent(..) => CallError::NotSent,
            SendError::Lost(..) | SendError::NoAnswer(..) => CallError::Lost,
        })?;
        let (body, _end) = body.into_parts();
        let body = read_body(body, MAX_ANSWER_BYTES, MOVE_TIMEOUT).await;
        let body = body.map_err(|_error| CallError::Lost)?;
        self.pool
            .return_connection(connection, &head, ConnectionShare::UNLIMITED);
        Ok((head.status, body))
    }

    async fn free_copy(&self, source: &ServerRecord, request: Request<Full<Bytes>>) {
        match tokio::time::timeout(FREE_TIMEOUT, self.call_engine(source, request)).await {
            Ok(Ok(_answer)) => self.counters.count("handles.freed"),
            // The engines expire the copy.
            Ok(Err(error)) => debug!("moves: copy not freed: {error}"),
            Err(_elapsed) => debug!("moves: copy not freed in time"),
        }
    }
}

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum CallError {
        /// The engine cannot be reached, or may not be called.
        NotSent {
            display("the call was not sent")
        }
        /// The call may have been carried out.
        Lost {
            display("the answer is lost")
        }
    }
}

/// Copies a run while it goes on, then stops it and copies the rest.
async fn move_run(active: ActiveMove, call: CallId, sender: oneshot::Sender<MoveEnd>) {
    let end = copy_and_stop(&active, &call, &sender).await;
    if let MoveEnd::Continues(failure) = &end {
        active
            .context
            .counters
            .count_reason("moves.failed", failure);
        info!(
            call = call.as_str(), from:% = active.source.incarnation,
            to:% = active.target.incarnation, reason = active.reason.name(), failure;
            "stream: not moved"
        );
    }
    // If the stream has ended meanwhile, the copy is dropped and thereby freed.
    let _ = sender.send(end);
}

async fn copy_and_stop(
    active: &ActiveMove,
    call: &CallId,
    sender: &oneshot::Sender<MoveEnd>,
) -> MoveEnd {
    let hold = |handle: CopyHandle| {
        Box::new(HeldCopy {
            context: Arc::clone(&active.context),
            source: active.source.clone(),
            target: active.target.clone(),
            handle,
            reason: active.reason,
            is_used: false,
        })
    };
    let copy = match call_move(active, call, false).await {
        Ok(MoveAnswer::Copied { handle, .. }) => hold(handle),
        Ok(MoveAnswer::NoCapacity(handle)) => {
            drop(handle.map(hold));
            return MoveEnd::Continues("target-full");
        }
        Ok(MoveAnswer::NoRun) => return MoveEnd::Continues("no-run"),
        Ok(MoveAnswer::Busy) => return MoveEnd::Continues("busy"),
        Ok(MoveAnswer::Unreadable) => return MoveEnd::Continues("unreadable"),
        Err(CallError::NotSent) => return MoveEnd::Continues("not-sent"),
        Err(CallError::Lost) => return MoveEnd::Continues("lost"),
    };
    if sender.is_closed() {
        return MoveEnd::Continues("stream-ended");
    }
    match call_move(active, call, true).await {
        Ok(MoveAnswer::Copied { handle, events }) => {
            let copy = if handle == copy.handle {
                copy
            } else {
                hold(handle)
            };
            MoveEnd::Stopped {
                copy,
                events: Some(events),
            }
        }
        Ok(MoveAnswer::NoRun) => MoveEnd::Continues("no-run"),
        Ok(MoveAnswer::Busy) => MoveEnd::Continues("busy"),
        Err(CallError::NotSent) => MoveEnd::Continues("not-sent"),
        // The run may have stopped. The first copy lacks the latest events, which the target
        // prefills.
        Ok(MoveAnswer::NoCapacity(_) | MoveAnswer::Unreadable) | Err(CallError::Lost) => {
            active.context.counters.count("moves.failed.not-completed");
            MoveEnd::Stopped { copy, events: None }
        }
    }
}

async fn call_move(
    active: &ActiveMove,
    call: &CallId,
    is_last: bool,
) -> Result<MoveAnswer, CallError> {
    let dialect = &active.context.dialect;
    let request = (dialect.move_request)(call, active.target.address, is_last);
    let calling = active.context.call_engine(&active.source, request);
    let answer = tokio::time::timeout(MOVE_TIMEOUT, calling).await;
    let (status, body) = answer.unwrap_or(Err(CallError::Lost))?;
    Ok((dialect.parse_move_answer)(status, &body))
}

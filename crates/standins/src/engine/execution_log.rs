//! Log of an engine's executions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::backend::CallHeaders;
use crate::engine::{EngineExecution, Operation};

/// All executions in the order of their start.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExecutionLog {
    executions: Arc<Mutex<Vec<EngineExecution>>>,
}

/// One execution in progress.
#[derive(Debug)]
pub(crate) struct RunningExecution {
    log: ExecutionLog,
    index: usize,
    started: Instant,
}

impl ExecutionLog {
    /// Records the start of an execution.
    pub(crate) fn start(&self, headers: &CallHeaders, operation: Operation) -> RunningExecution {
        let mut executions = self.lock();
        let index = executions.len();
        executions.push(EngineExecution {
            call_id: headers.call_id.clone(),
            operation,
            organisation: headers.organisation.clone(),
            class: headers.class,
            started_order: u64::try_from(index + 1).unwrap_or(u64::MAX),
            tokens: 0,
            server_ms: 0,
            finished: false,
        });
        RunningExecution {
            log: self.clone(),
            index,
            started: Instant::now(),
        }
    }

    /// All executions so far.
    pub(crate) fn executions(&self) -> Vec<EngineExecution> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EngineExecution>> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningExecution {
    /// Counts one more token.
    pub(crate) fn count_token(&self) {
        self.update(|execution| execution.tokens += 1);
    }

    /// Records that it completed.
    pub(crate) fn finish(&self) {
        self.update(|execution| execution.finished = true);
    }

    fn update(&self, update: impl FnOnce(&mut EngineExecution)) {
        let server_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if let Some(execution) = self.log.lock().get_mut(self.index) {
            execution.server_ms = server_ms;
            update(execution);
        }
    }
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        self.update(|_| {});
    }
}

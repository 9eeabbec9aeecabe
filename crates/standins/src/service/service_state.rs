//! State of a plain service.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::backend::{ActiveFaults, CallHeaders, CallId, Digest};
use crate::http::StopSignal;
use crate::service::{ServiceExecution, ServiceSettings};

/// State of a plain service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: String,
    pub(crate) service_time: Duration,
    pub(crate) faults: ActiveFaults,
    records: Mutex<Records>,
}

#[derive(Debug, Default)]
struct Records {
    executions: Vec<ServiceExecution>,
    executions_by_call: HashMap<CallId, u64>,
}

impl ServiceState {
    /// A service that has executed nothing.
    pub(crate) fn new(settings: ServiceSettings, stop: StopSignal) -> Self {
        Self {
            name: settings.name,
            service_time: Duration::from_millis(settings.service_ms),
            faults: ActiveFaults::new(settings.crash_mode, stop),
            records: Mutex::new(Records::default()),
        }
    }

    /// Records the start of an execution; returns its number among those of its call id, from 1.
    pub(crate) fn record(&self, headers: &CallHeaders, path: &str, body_digest: Digest) -> u64 {
        let mut records = self.lock();
        let order = u64::try_from(records.executions.len() + 1).unwrap_or(u64::MAX);
        records.executions.push(ServiceExecution {
            call_id: headers.call_id.clone(),
            path: path.to_owned(),
            organisation: headers.organisation.clone(),
            body_digest: body_digest.to_string(),
            order,
        });
        let call_id = headers.call_id.clone();
        let execution = records.executions_by_call.entry(call_id).or_default();
        *execution += 1;
        *execution
    }

    /// All executions in the order of their start.
    pub(crate) fn executions(&self) -> Vec<ServiceExecution> {
        self.lock().executions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        // No code panics in the middle of a change, so a poisoned lock guards consistent state.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

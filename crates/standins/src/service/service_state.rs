//! What a plain service knows.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::backend::{CallHeaders, CallId, Digest, Switches};
use crate::http::StopSignal;
use crate::service::{ServiceExecution, ServiceSettings};

/// What a plain service knows.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: String,
    pub(crate) service_time: Duration,
    pub(crate) switches: Switches,
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
            switches: Switches::new(settings.death, stop),
            records: Mutex::new(Records::default()),
        }
    }

    /// Records the start of an execution; tells the how-manieth of its call id it is, from 1.
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
        // Nothing panics while it holds the lock half-way through a change.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

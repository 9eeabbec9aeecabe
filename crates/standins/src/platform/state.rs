//! The platform's contents and its active faults.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthscale_core::wire::{Transaction, TransactionReply};
use bytes::Bytes;
use tokio::time::Instant;

use crate::platform::host_directory::HostDirectory;
use crate::platform::rate_window::RateWindow;
use crate::platform::table::Table;
use crate::platform::{PlatformCounts, PlatformFaults, PlatformSettings};

/// Path of the host list.
pub(crate) const HOSTS_PATH: &str = "/hosts";

/// Shared handle on the platform's contents.
#[derive(Debug, Clone)]
pub(crate) struct State {
    contents: Arc<Mutex<Contents>>,
}

/// The platform's contents and its active faults.
#[derive(Debug)]
pub(crate) struct Contents {
    pub(crate) table: Table,
    pub(crate) objects: HashMap<String, Bytes>,
    pub(crate) hosts: HostDirectory,
    pub(crate) host_list_lag: Duration,
    pub(crate) counts: PlatformCounts,
    pub(crate) reads: RateWindow,
    pub(crate) writes: RateWindow,
    pub(crate) outage: bool,
    pub(crate) table_outage: bool,
    pub(crate) silent: bool,
    pub(crate) latency: Duration,
    late_effect: Duration,
    late_effects: u32,
    lose_answers: u32,
}

/// How one transaction is executed and answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransactionMode {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// It is not answered and takes effect after this time.
    Late(Duration),
}

impl State {
    /// An empty platform.
    pub(crate) fn new(settings: PlatformSettings) -> Self {
        Self {
            contents: Arc::new(Mutex::new(Contents::new(settings))),
        }
    }

    /// Locks the contents.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Contents> {
        // No code panics in the middle of a change, so the contents are consistent even if
        // the lock is poisoned.
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    /// Sets faults.
    pub(crate) fn set_faults(&mut self, faults: PlatformFaults) {
        set(&mut self.outage, faults.outage);
        set(&mut self.table_outage, faults.table_outage);
        set(&mut self.silent, faults.silent);
        set(
            &mut self.latency,
            faults.latency_ms.map(Duration::from_millis),
        );
        set(&mut self.lose_answers, faults.lose_answers);
        let late_effect = faults.late_effect_ms.map(Duration::from_millis);
        set(&mut self.late_effect, late_effect);
        set(&mut self.late_effects, faults.late_effects);
        let host_list_lag = faults.host_list_lag_ms.map(Duration::from_millis);
        set(&mut self.host_list_lag, host_list_lag);
        if let Some(limit) = faults.reads_per_second {
            self.reads.set_limit(limit);
        }
        if let Some(limit) = faults.writes_per_second {
            self.writes.set_limit(limit);
        }
    }

    /// Whether calls to this path fail by an outage.
    pub(crate) fn is_unavailable(&self, path: &str) -> bool {
        self.outage || (self.table_outage && path != HOSTS_PATH)
    }

    /// Decides how the next transaction is executed and answered.
    pub(crate) fn next_mode(&mut self) -> TransactionMode {
        if self.late_effects > 0 {
            self.late_effects -= 1;
            self.counts.lost += 1;
            TransactionMode::Late(self.late_effect)
        } else if self.lose_answers > 0 {
            self.lose_answers -= 1;
            self.counts.lost += 1;
            TransactionMode::AnswerLost
        } else {
            TransactionMode::Answered
        }
    }

    /// Applies a transaction and counts its result.
    pub(crate) fn apply(&mut self, transaction: &Transaction) -> TransactionReply {
        let reply = self.table.apply(transaction);
        match reply {
            TransactionReply::Committed(_) => self.counts.transactions_committed += 1,
            TransactionReply::Conflict(_) => self.counts.conflicts += 1,
        }
        reply
    }

    /// Counts a read and whether the rate limit admits it.
    pub(crate) fn admit_read(&mut self) -> bool {
        let admitted = self.reads.admit(Instant::now());
        self.counts.reads += u64::from(admitted);
        self.counts.refused_rate += u64::from(!admitted);
        admitted
    }

    /// Counts a write and whether the rate limit admits it.
    pub(crate) fn admit_write(&mut self) -> bool {
        let admitted = self.writes.admit(Instant::now());
        self.counts.writes += u64::from(admitted);
        self.counts.refused_rate += u64::from(!admitted);
        admitted
    }

    fn new(settings: PlatformSettings) -> Self {
        let now = Instant::now();
        Self {
            table: Table::default(),
            objects: HashMap::new(),
            hosts: HostDirectory::new(now),
            host_list_lag: Duration::from_millis(settings.host_list_lag_ms),
            counts: PlatformCounts::default(),
            reads: RateWindow::new(now, settings.reads_per_second),
            writes: RateWindow::new(now, settings.writes_per_second),
            outage: false,
            table_outage: false,
            silent: false,
            latency: Duration::from_millis(settings.latency_ms),
            late_effect: Duration::ZERO,
            late_effects: 0,
            lose_answers: 0,
        }
    }
}

fn set<T>(field: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *field = new;
    }
}

//! State of an engine.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::ActiveFaults;
use crate::engine::cache_event_log::CacheEventLog;
use crate::engine::cancellation_registry::CancellationRegistry;
use crate::engine::execution_log::ExecutionLog;
use crate::engine::order_log::OrderLog;
use crate::engine::prefix_cache::PrefixCache;
use crate::engine::prompt::Prompt;
use crate::engine::slot_queue::{Slot, SlotQueue};
use crate::engine::{CacheEvent, EngineSettings};
use crate::http::StopSignal;

/// Bytes of prompt per unit of the prefill time, a KiB.
const PREFILL_UNIT_BYTES: f64 = 1024.0;

/// State of an engine.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) slots: SlotQueue,
    pub(crate) executions: ExecutionLog,
    pub(crate) cancellations: CancellationRegistry,
    pub(crate) faults: ActiveFaults,
    settings: EngineSettings,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderLog>,
}

impl EngineState {
    /// An idle engine.
    pub(crate) fn new(settings: EngineSettings, stop: StopSignal) -> Self {
        let load_lag = Duration::from_millis(settings.load_lag_ms);
        let event_lag = Duration::from_millis(settings.cache_event_lag_ms);
        let events = CacheEventLog::new(event_lag, settings.cache_event_gap_every);
        let cache = PrefixCache::new(settings.prefix_cache_bytes, events);
        Self {
            slots: SlotQueue::new(settings.slots, load_lag),
            executions: ExecutionLog::default(),
            cancellations: CancellationRegistry::default(),
            faults: ActiveFaults::new(settings.crash_mode, stop),
            settings,
            cache: Mutex::new(cache),
            orders: Mutex::new(OrderLog::new(settings.honours_fence)),
        }
    }

    /// Simulates an operation that generates no tokens.
    pub(crate) async fn run_operation(&self) {
        let base = Duration::from_millis(self.settings.base_ms);
        self.faults.simulate_work(base).await;
    }

    /// Simulates the prefill of a prompt, faster if its prefix is cached.
    pub(crate) async fn prefill(&self, prompt: &Prompt) {
        let length_bytes = u32::try_from(prompt.length_bytes).unwrap_or(u32::MAX);
        let units = f64::from(length_bytes) / PREFILL_UNIT_BYTES;
        let whole = Duration::from_millis(self.settings.prefill_ms_per_kib).mul_f64(units);
        let share = self.prefill_share(prompt);
        self.faults.simulate_work(whole.mul_f64(share)).await;
    }

    /// Simulates the generation of one token, slower with each further running sequence.
    pub(crate) async fn token_step(&self, slot: &Slot) {
        let others = slot.batch_size().saturating_sub(1);
        let penalty = self.settings.batch_penalty * f64::from(others);
        let alone = Duration::from_millis(self.settings.token_ms);
        self.faults
            .simulate_work(alone.mul_f64(1.0 + penalty))
            .await;
    }

    /// Cache events published so far with numbers above `after`.
    pub(crate) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        lock(&self.cache).events().after(Instant::now(), after)
    }

    /// Locks the orders.
    pub(crate) fn orders(&self) -> MutexGuard<'_, OrderLog> {
        lock(&self.orders)
    }

    fn prefill_share(&self, prompt: &Prompt) -> f64 {
        let Some(prefix) = &prompt.prefix else {
            return 1.0;
        };
        let now = Instant::now();
        if lock(&self.cache).touch(now, prefix, prompt.length_bytes) {
            self.settings.cached_prefill_share
        } else {
            1.0
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No code panics in the middle of a change, so a poisoned lock guards consistent state.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

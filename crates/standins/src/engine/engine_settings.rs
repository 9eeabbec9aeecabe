//! Settings of the engine stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use crate::backend::CrashMode;

/// Sequences that run together.
const DEFAULT_SLOTS: u32 = 8;
/// Duration of the token step of a sequence that runs alone.
const DEFAULT_TOKEN_MS: u64 = 5;
/// Share by which each further sequence slows all.
const DEFAULT_BATCH_PENALTY: f64 = 0.05;
/// Duration of an operation that generates no tokens.
const DEFAULT_BASE_MS: u64 = 5;
/// Time to read a KiB of prompt.
const DEFAULT_PREFILL_MS_PER_KIB: u64 = 2;
/// Share of that time that remains when the prefix is cached.
const DEFAULT_CACHED_PREFILL_SHARE: f64 = 0.1;
/// Memory for cached prefixes, small enough that tests see evictions.
const DEFAULT_PREFIX_CACHE_BYTES: usize = 1024 * 1024;
/// Lag of the load report.
const DEFAULT_LOAD_LAG_MS: u64 = 200;
/// Lag of the cache events.
const DEFAULT_CACHE_EVENT_LAG_MS: u64 = 500;
/// Each event whose number is a multiple of this is never published.
const DEFAULT_CACHE_EVENT_GAP_EVERY: u64 = 10;

/// Settings of the engine stand-in.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Sequences that run together.
    pub slots: u32,
    /// Duration of the token step of a sequence that runs alone, in milliseconds.
    pub token_ms: u64,
    /// Share by which each further sequence lengthens the token step.
    pub batch_penalty: f64,
    /// Duration of an operation that generates no tokens, in milliseconds.
    pub base_ms: u64,
    /// Time to read a KiB of prompt, in milliseconds.
    pub prefill_ms_per_kib: u64,
    /// Share of that time that remains when the prefix is cached.
    pub cached_prefill_share: f64,
    /// Memory for cached prefixes, in bytes; a prefix counts with the size of the body that
    /// contained it.
    pub prefix_cache_bytes: usize,
    /// Lag of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Lag of the cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Each event whose number is a multiple of this is never published; 0 publishes all.
    pub cache_event_gap_every: u64,
    /// Whether an order with an old fencing number is refused.
    pub honours_fence: bool,
    /// How it crashes on request.
    pub crash_mode: CrashMode,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: DEFAULT_SLOTS,
            token_ms: DEFAULT_TOKEN_MS,
            batch_penalty: DEFAULT_BATCH_PENALTY,
            base_ms: DEFAULT_BASE_MS,
            prefill_ms_per_kib: DEFAULT_PREFILL_MS_PER_KIB,
            cached_prefill_share: DEFAULT_CACHED_PREFILL_SHARE,
            prefix_cache_bytes: DEFAULT_PREFIX_CACHE_BYTES,
            load_lag_ms: DEFAULT_LOAD_LAG_MS,
            cache_event_lag_ms: DEFAULT_CACHE_EVENT_LAG_MS,
            cache_event_gap_every: DEFAULT_CACHE_EVENT_GAP_EVERY,
            honours_fence: true,
            crash_mode: CrashMode::default(),
        }
    }
}

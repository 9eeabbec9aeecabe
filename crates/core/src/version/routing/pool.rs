//! Server pools: the interchangeable backend servers of a service.

use std::time::Duration;

use crate::id::ServiceId;
use crate::process::ColdSpec;

/// The backend servers of a service, as operators specify them.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Name of the service.
    pub service: ServiceId,
    /// Connections that one server accepts in total.
    pub max_connections: usize,
    /// Capacity of one engine, if the service runs engines.
    pub engine: Option<EngineSpec>,
    /// Batch capacity of one server, if the service computes pieces of stages.
    pub batch: Option<BatchSpec>,
    /// Limits of a cold server, if the service's servers can be cold.
    pub cold: Option<ColdSpec>,
}

/// Capacity of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Concurrent requests.
    pub slots: usize,
    /// Memory for running requests and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// How engines copy the KV cache of prompts and runs to each other, if they can.
    pub transfer: Option<TransferSpec>,
}

/// How engines of a service copy KV cache to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferSpec {
    /// KV cache of one token.
    pub bytes_per_token: u64,
    /// Bandwidth of an engine's link for transfers.
    pub bytes_per_s: u64,
    /// Whether an engine can replicate a running request to another engine.
    pub can_back_up: bool,
    /// Whether an engine can migrate a running request to another engine.
    pub can_move: bool,
    /// How long an unused copy is retained.
    pub copy_retention: Duration,
}

impl TransferSpec {
    /// Time before the first byte of a transfer arrives.
    pub const START_TIME: Duration = Duration::from_micros(2_500);

    /// Time to fetch the KV cache of some tokens over an idle link.
    #[must_use]
    pub fn fetch_time(&self, tokens: u64) -> Duration {
        Self::START_TIME.saturating_add(self.transfer_time(tokens))
    }

    /// Time to transfer the KV cache of some tokens over an idle link.
    #[must_use]
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        let bytes = u128::from(tokens) * u128::from(self.bytes_per_token);
        let micros = bytes * 1_000_000 / u128::from(self.bytes_per_s.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Batch capacity of one server of a stage service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpec {
    /// Concurrent calls.
    pub slots: usize,
    /// Maximum pieces in one call.
    pub max_pieces: usize,
    /// Fixed time of a call.
    pub call_time: Duration,
    /// Additional time of each piece.
    pub piece_time: Duration,
    /// Capacity of the result storage.
    pub result_capacity_bytes: u64,
    /// How long a result is stored unless it is freed.
    pub result_retention: Duration,
}

impl BatchSpec {
    /// Time of a call with a number of pieces.
    #[must_use]
    pub fn call_time_for(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.call_time + self.piece_time.saturating_mul(pieces)
    }
}

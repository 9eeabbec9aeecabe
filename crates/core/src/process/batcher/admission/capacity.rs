//! What a stage service's servers complete, at one point in time.

use std::time::Duration;

use super::super::pool_state::PoolState;
use super::arriving::Cost;
use super::refused_forecast::Bound;
use crate::process::count::as_f64;
use crate::version::BatchSpec;

/// Smallest assumed speed, in servers; avoids a division by zero.
const MIN_SPEED: f64 = 0.2;

/// Capacity of a service.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    spec: BatchSpec,
    /// Seconds until each usable server is free, in ascending order.
    free_in_s: Vec<f64>,
    /// Servers in use, each by its speed.
    speed: f64,
    /// Time of a full call at the usual speed.
    call_s: f64,
    /// Server time of a piece in a full call.
    piece_s: f64,
    max_pieces: usize,
    /// Expected number of pieces in a call.
    pub(super) usual_pieces: usize,
    free_bytes: f64,
    /// Bytes of storage that become free per second under full use.
    bytes_per_s: f64,
    /// Time until any server may be used.
    backoff_s: f64,
}

impl Capacity {
    pub(super) fn of(pool: &PoolState, now: Duration) -> Option<Self> {
        let spec = pool.spec?;
        let mut free_in_s = Vec::new();
        let mut free_bytes = 0.0;
        for (incarnation, server) in pool.usable(now) {
            free_in_s.push(server.busy_until.saturating_sub(now).as_secs_f64());
            free_bytes += bytes_as_f64(pool.free_bytes(incarnation, now));
        }
        free_in_s.sort_unstable_by(f64::total_cmp);
        let max_pieces = spec.max_pieces.max(1);
        let call_s = spec.call_time_for(max_pieces).as_secs_f64();
        let usual_pieces = pool.min_batch_size(spec, now).max(max_pieces / 2).max(1);
        let shortest = spec.call_time_for(usual_pieces);
        let residence = pool.residence.average().unwrap_or(shortest).max(shortest);
        let stored_bytes = as_f64(free_in_s.len()) * bytes_as_f64(pool.usable_bytes());
        Some(Self {
            spec,
            speed: pool.speed(now).max(MIN_SPEED),
            call_s,
            piece_s: call_s / as_f64(max_pieces),
            max_pieces,
            usual_pieces,
            free_bytes,
            bytes_per_s: (stored_bytes / residence.as_secs_f64().max(0.001)).max(1.0),
            backoff_s: pool.backoff_left(now).unwrap_or_default().as_secs_f64(),
            free_in_s,
        })
    }

    pub(super) fn cost(&self) -> Cost {
        Cost {
            per_work_s: 1.0 / self.speed,
            per_byte: 1.0 / self.bytes_per_s,
        }
    }

    /// Time of a call with some pieces, at most a full one, at the usual speed.
    pub(super) fn call_time_s(&self, pieces: usize) -> f64 {
        let pieces = pieces.min(self.max_pieces);
        self.spec.call_time_for(pieces).as_secs_f64()
    }

    /// Server time of some pieces in full calls.
    pub(super) fn work_s(&self, pieces: usize) -> f64 {
        self.piece_s * as_f64(pieces)
    }

    /// How much longer calls take than usual.
    pub(super) fn slowness(&self) -> f64 {
        (as_f64(self.free_in_s.len()) / self.speed).max(1.0)
    }

    /// Seconds until a server starts the piece that has a number of pieces ahead of it.
    pub(super) fn time_wait(&self, pieces_ahead: usize) -> f64 {
        let servers = self.free_in_s.len();
        if servers == 0 {
            return self.backoff_s + self.work_s(pieces_ahead) / self.speed;
        }
        let calls = pieces_ahead / self.max_pieces;
        let rounds = as_f64(calls / servers);
        let first = self.free_in_s[calls % servers];
        self.backoff_s + first + rounds * self.call_s * as_f64(servers) / self.speed
    }

    /// Seconds until there is storage for some bytes.
    pub(super) fn room_wait(&self, bytes: f64) -> f64 {
        (bytes - self.free_bytes).max(0.0) / self.bytes_per_s
    }

    /// The longer of both waits, and what it is for.
    pub(super) fn wait(&self, pieces_ahead: usize, bytes: f64) -> (f64, Bound) {
        longer(self.time_wait(pieces_ahead), self.room_wait(bytes))
    }
}

/// Fraction of the average result that waits up to which a result fits into the storage that is left
/// beside results that do not.
const SMALL_FRACTION: f64 = 0.25;

/// Whether results of a size are sent ahead of those that wait for storage.
///
/// Guards against a refusal of small results for the storage that large ones of the same service
/// lack: a server with too little storage for the next result gets one that fits.
pub(super) fn fits_beside(result_bytes: u64, pieces_ahead: usize, bytes_ahead: u64) -> bool {
    let average = bytes_as_f64(bytes_ahead) / as_f64(pieces_ahead).max(1.0);
    bytes_as_f64(result_bytes) < average * SMALL_FRACTION
}

/// The longer of two waits.
pub(super) fn longer(time_s: f64, room_s: f64) -> (f64, Bound) {
    if room_s > time_s {
        (room_s, Bound::Room)
    } else {
        (time_s, Bound::Time)
    }
}

/// Bytes as a floating-point number, exact up to 4 TiB.
pub(in crate::process::batcher) fn bytes_as_f64(bytes: u64) -> f64 {
    as_f64(bytes / 1_024) * 1_024.0 + as_f64(bytes % 1_024)
}

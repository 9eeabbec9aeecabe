//! One stage service: its queue and the account of its servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::PieceRef;
use crate::id::{ServerId, ZoneId};
use crate::process::server_list::ServerRecord;
use crate::version::BatchSpec;

/// Part of the room that is used: sizes of results are approximate.
const USED_ROOM_PERCENT: u64 = 95;
/// Part of each new sample in a server's slowness.
const SAMPLE_SHARE: f64 = 0.5;
/// Time without a call after which a server counts as no slower than the others again.
const SLOWNESS_LIFE: Duration = Duration::from_secs(3);
/// First time that a server which lost a call is left out; doubles with each further loss.
const FIRST_OUT: Duration = Duration::from_millis(500);
/// Most doublings of the time that a server is left out.
const MOST_DOUBLINGS: u32 = 3;

/// Speed that a service is always taken to have, in servers; none in use would divide by zero.
const LEAST_SPEED: f64 = 0.2;
/// Span over which arriving work is averaged.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// One server as the owner of the batches sees it.
#[derive(Debug)]
pub(super) struct StageServer {
    pub(super) address: SocketAddr,
    pub(super) zone: ZoneId,
    pub(super) calls: usize,
    /// Expected end of its calls.
    pub(super) busy_until: Duration,
    pub(super) out_until: Duration,
    losses: u32,
    used_bytes: u64,
    slowness: f64,
    sampled_at: Duration,
}

impl StageServer {
    fn new(record: &ServerRecord) -> Self {
        Self {
            address: record.address,
            zone: record.zone.clone(),
            calls: 0,
            busy_until: Duration::ZERO,
            out_until: Duration::ZERO,
            losses: 0,
            used_bytes: 0,
            slowness: 1.0,
            sampled_at: Duration::ZERO,
        }
    }

    /// Times that a call takes longer here than the service says.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.sampled_at) > SLOWNESS_LIFE {
            1.0
        } else {
            self.slowness
        }
    }

    pub(super) fn answered(&mut self, slowness: f64, now: Duration) {
        self.losses = 0;
        self.slowness += SAMPLE_SHARE * (slowness.max(0.5) - self.slowness);
        self.sampled_at = now;
    }

    pub(super) fn lost(&mut self, now: Duration) {
        let out = FIRST_OUT * (1 << self.losses.min(MOST_DOUBLINGS));
        self.losses += 1;
        self.out_until = now + out;
    }
}

/// One stage service.
#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) spec: Option<BatchSpec>,
    pub(super) servers: BTreeMap<ServerId, StageServer>,
    pub(super) waiting: Vec<PieceRef>,
    arriving: f64,
    arrived_at: Duration,
}

impl PoolState {
    /// Time in which the servers make so many pieces in full batches.
    pub(super) fn time_for(&self, pieces: usize, now: Duration) -> Duration {
        let Some(spec) = self.spec else {
            return Duration::ZERO;
        };
        let max_pieces = u32::try_from(spec.max_pieces.max(1)).unwrap_or(1);
        let piece_time = spec.piece_time + spec.call_time / max_pieces;
        let work = piece_time.saturating_mul(u32::try_from(pieces).unwrap_or(u32::MAX));
        let servers = self.in_use(now);
        let speed: f64 = servers.map(|(_, server)| 1.0 / server.slowness(now)).sum();
        let slots = f64::from(u32::try_from(spec.slots.max(1)).unwrap_or(1));
        work.div_f64((speed * slots).max(LEAST_SPEED))
    }

    /// Counts work that arrives.
    pub(super) fn note_arriving(&mut self, work: Duration, now: Duration) {
        let faded = self.arriving(now);
        self.arriving = faded + work.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64();
        self.arrived_at = now;
    }

    /// Part of the servers' time that arriving work takes, over the last seconds.
    pub(super) fn arriving(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.arrived_at).as_secs_f64();
        self.arriving * (-elapsed / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    pub(super) const fn set_spec(&mut self, spec: BatchSpec) {
        self.spec = Some(spec);
    }

    /// Servers that are gone or leave drop out of the account; their calls end by themselves.
    pub(super) fn set_servers(&mut self, listed: &[&ServerRecord]) {
        self.servers
            .retain(|id, _| listed.iter().any(|record| record.id == *id));
        for record in listed {
            self.servers
                .entry(record.id.clone())
                .or_insert_with(|| StageServer::new(record));
        }
    }

    /// Whether a server has room for a result beside those that it keeps.
    pub(super) fn has_room(&self, server: &ServerId, taken_bytes: u64, result_bytes: u64) -> bool {
        let Some((spec, server)) = self.spec.zip(self.servers.get(server)) else {
            return false;
        };
        let usable_bytes = spec.room_bytes / 100 * USED_ROOM_PERCENT;
        // A result larger than the room must be let through: the size is approximate.
        let is_empty = server.used_bytes + taken_bytes == 0;
        is_empty || server.used_bytes + taken_bytes + result_bytes <= usable_bytes
    }

    pub(super) fn reserve(&mut self, server: &ServerId, bytes: u64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.used_bytes += bytes;
        }
    }

    pub(super) fn give_back(&mut self, server: &ServerId, bytes: u64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.used_bytes = server.used_bytes.saturating_sub(bytes);
        }
    }

    /// Servers that take calls.
    pub(super) fn in_use(&self, now: Duration) -> impl Iterator<Item = (&ServerId, &StageServer)> {
        let servers = self.servers.iter();
        servers.filter(move |(_, server)| server.out_until <= now)
    }
}

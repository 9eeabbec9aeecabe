use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::{ResultHandle, RoutingVersion, ServerIncarnation};
use amaranthscale_core::process::{
    Batch, BatchEnd, Batcher, FreeRequest, PieceEnd, ServerAvailability, ServerRecord,
};
use amaranthscale_core::version::{BatchSpec, CallerBounds, Pool, Routing};

use super::callers::Callers;

/// Services with their number of servers and the size of their results. All are busy for the same
/// fraction of their time at the usual mix of requests.
pub const SERVICES: [(&str, u32, u64); 4] = [
    ("segment", 16, 800_000),
    ("encode", 3, 8_000),
    ("retrieve", 9, 60_000),
    ("rerank", 13, 6_000),
];
const CAPACITY_BYTES: u64 = 9_600_000;
const RETENTION: Duration = Duration::from_secs(4);

fn spec() -> BatchSpec {
    BatchSpec {
        slots: 1,
        max_pieces: 8,
        call_time: Duration::from_millis(240),
        piece_time: Duration::from_millis(26),
        result_capacity_bytes: CAPACITY_BYTES,
        result_retention: RETENTION,
    }
}

/// A call, and the handles of the results that found storage.
type RunningCall = (Batch, Vec<Option<ResultHandle>>);

/// Stage servers: one call at a time, with limited result storage.
#[derive(Debug)]
pub struct StageServers {
    records: Vec<ServerRecord>,
    ends: BTreeMap<(Duration, u64), RunningCall>,
    /// Stored results of each server.
    stored: BTreeMap<ServerIncarnation, BTreeMap<ResultHandle, u64>>,
    calls: u64,
    pub storage_full: usize,
    pub busy: Duration,
}

impl StageServers {
    pub fn new() -> Self {
        let servers = SERVICES.iter().flat_map(|(service, count, _)| {
            (0..*count).map(move |index| ServerRecord {
                incarnation: format!("{service}-{index}").parse().unwrap(),
                service: service.parse().unwrap(),
                address: "127.0.0.1:9000".parse().unwrap(),
                zone: format!("zone-{}", index % 3).parse().unwrap(),
                slots: 1,
                is_leaving: false,
                cold_left: None,
            })
        });
        Self {
            records: servers.collect(),
            ends: BTreeMap::new(),
            stored: BTreeMap::new(),
            calls: 0,
            storage_full: 0,
            busy: Duration::ZERO,
        }
    }

    /// Lists the servers; a fraction of each service is missing.
    pub fn list(&self, batcher: &mut Batcher, lost: f64, now: Duration) {
        let pools = SERVICES.map(|(service, ..)| Pool {
            service: service.parse().unwrap(),
            max_connections: 100,
            engine: None,
            batch: Some(spec()),
            cold: None,
        });
        let routing = Routing::new(RoutingVersion::new(1), CallerBounds::default());
        let is_lost = |record: &&ServerRecord| {
            let index = record.incarnation.id().as_str().rsplit('-').next();
            let index: u32 = index.unwrap().parse().unwrap();
            let service = SERVICES
                .iter()
                .find(|(name, ..)| *name == record.service.as_str());
            f64::from(index) >= f64::from(service.unwrap().1) * (1.0 - lost)
        };
        let listed = self.records.iter().filter(|record| !is_lost(record));
        let listed = listed.map(|record| (record, ServerAvailability::Free));
        batcher.set_servers(&routing.with_pools(pools), listed, now);
    }

    pub fn start(&mut self, batch: Batch, now: Duration) {
        self.calls += 1;
        let service = SERVICES
            .iter()
            .find(|(name, ..)| *name == batch.service.as_str());
        let result_bytes = service.unwrap().2;
        let stored = self.stored.entry(batch.server.clone()).or_default();
        let mut handles = Vec::new();
        for index in 0..batch.items.len() {
            let used: u64 = stored.values().sum();
            if used + result_bytes > CAPACITY_BYTES {
                self.storage_full += 1;
                handles.push(None);
                continue;
            }
            let handle = format!("10.0.0.1:80/{}-{index}", self.calls);
            let handle: ResultHandle = handle.parse().unwrap();
            stored.insert(handle.clone(), result_bytes);
            handles.push(Some(handle));
        }
        let took = spec().call_time_for(batch.items.len());
        self.busy += took;
        self.ends.insert((now + took, self.calls), (batch, handles));
    }

    /// Ends the calls that are over.
    pub fn end_calls(&mut self, batcher: &mut Batcher, callers: &mut Callers, now: Duration) {
        let later = self.ends.split_off(&(now, u64::MAX));
        for (batch, handles) in std::mem::replace(&mut self.ends, later).into_values() {
            let pieces = u32::try_from(batch.items.len()).unwrap();
            let each = spec().call_time_for(batch.items.len()) / pieces;
            for item in &batch.items {
                callers.spent(&item.call, each);
            }
            let ends = handles
                .into_iter()
                .map(|handle| handle.map_or(PieceEnd::StorageFull, PieceEnd::Completed));
            batcher.batch_ended(batch.id, BatchEnd::Pieces(ends.collect()), None, now);
        }
    }

    pub fn free(&mut self, request: &FreeRequest) {
        let stored = self.stored.entry(request.server.clone()).or_default();
        for handle in &request.handles {
            stored.remove(handle);
        }
    }
}

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::{ResultHandle, RoutingVersion, ServerIncarnation};
use amaranthscale_core::process::{
    Batch, BatchEnd, Batcher, FreeRequest, PieceEnd, ServerAvailability, ServerRecord,
};
use amaranthscale_core::version::{CallerBounds, Pool, Routing};

use super::callers::Callers;
use super::deployment::{CAPACITY_BYTES, Deployment};

/// A call, and the handles of the results that found storage.
type RunningCall = (Batch, Vec<Option<ResultHandle>>);

/// Stage servers: one call at a time, with limited result storage.
#[derive(Debug)]
pub struct StageServers {
    deployment: &'static Deployment,
    records: Vec<ServerRecord>,
    ends: BTreeMap<(Duration, u64), RunningCall>,
    /// Stored results of each server.
    stored: BTreeMap<ServerIncarnation, BTreeMap<ResultHandle, u64>>,
    calls: u64,
    pub storage_full: usize,
    pub busy: Duration,
}

impl StageServers {
    pub fn new(deployment: &'static Deployment) -> Self {
        let servers = deployment.services.iter().flat_map(|service| {
            (0..service.servers).map(move |index| ServerRecord {
                incarnation: format!("{}-{index}", service.name).parse().unwrap(),
                service: service.name.parse().unwrap(),
                address: "127.0.0.1:9000".parse().unwrap(),
                zone: format!("zone-{}", index % 3).parse().unwrap(),
                slots: 1,
                is_leaving: false,
                cold_left: None,
                software_version: None,
            })
        });
        Self {
            deployment,
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
        let pools = self.deployment.services.iter().map(|service| Pool {
            service: service.name.parse().unwrap(),
            max_connections: 100,
            engine: None,
            batch: Some(service.spec()),
            cold: None,
        });
        let routing = Routing::new(RoutingVersion::new(1), CallerBounds::default());
        let is_lost = |record: &&ServerRecord| {
            let index = record.incarnation.id().as_str().rsplit('-').next();
            let index: u32 = index.unwrap().parse().unwrap();
            let service = self.deployment.service(record.service.as_str());
            f64::from(index) >= f64::from(service.servers) * (1.0 - lost)
        };
        let listed = self.records.iter().filter(|record| !is_lost(record));
        let listed = listed.map(|record| (record, ServerAvailability::Free));
        batcher.set_servers(&routing.with_pools(pools), listed, now);
    }

    pub fn start(&mut self, batch: Batch, now: Duration) {
        self.calls += 1;
        let service = self.deployment.service(batch.service.as_str());
        let result_bytes = service.result_bytes;
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
        let took = service.spec().call_time_for(batch.items.len());
        self.busy += took;
        self.ends.insert((now + took, self.calls), (batch, handles));
    }

    /// Ends the calls that are over.
    pub fn end_calls(&mut self, batcher: &mut Batcher, callers: &mut Callers, now: Duration) {
        let later = self.ends.split_off(&(now, u64::MAX));
        for (batch, handles) in std::mem::replace(&mut self.ends, later).into_values() {
            let pieces = u32::try_from(batch.items.len()).unwrap();
            let spec = self.deployment.service(batch.service.as_str()).spec();
            let each = spec.call_time_for(batch.items.len()) / pieces;
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

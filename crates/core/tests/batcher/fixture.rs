//! A small deployment of three stage services around the real batcher.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::{ResultHandle, RoutingVersion, ServerIncarnation, StartMs};
use amaranthscale_core::process::{
    AllowedZones, Batch, BatchEnd, Batcher, Cell, DEFAULT_ENGINE_TIME, JobEvent, JobId, JobSpec,
    PieceEnd, Rank, ServerAvailability, ServerRecord, StageSpec,
};
use amaranthscale_core::version::{BatchSpec, CallerBounds, Pool, Routing};

pub const ENCODE: &str = "encode";
pub const RETRIEVE: &str = "retrieve";
pub const RERANK: &str = "rerank";
/// Result storage of each server.
pub const CAPACITY_BYTES: u64 = 1_000_000;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub struct Fixture {
    pub batcher: Batcher,
    pub now: Duration,
    has_forecast: bool,
    calls: u64,
    handles: u64,
    zones: Vec<String>,
    /// Servers that were restarted, and how often.
    restarts: BTreeMap<String, u64>,
    /// Availability of the servers of a zone, where it is restricted.
    availabilities: BTreeMap<String, ServerAvailability>,
}

impl Fixture {
    /// One server of each service in each of the availability zones.
    pub fn new(zones: &[&str]) -> Self {
        let mut fixture = Self {
            batcher: Batcher::new(),
            now: ms(10_000),
            has_forecast: false,
            calls: 0,
            handles: 0,
            zones: Vec::new(),
            restarts: BTreeMap::new(),
            availabilities: BTreeMap::new(),
        };
        fixture.set_servers(zones);
        fixture
    }

    /// As [`Self::new`], with admission by forecast.
    pub fn with_forecast(zones: &[&str]) -> Self {
        let mut fixture = Self::new(zones);
        fixture.batcher = Batcher::new().with_forecast(true);
        fixture.has_forecast = true;
        fixture.set_servers(zones);
        fixture
    }

    /// Replaces the owner; returns the previous one.
    pub fn change_owner(&mut self) -> Batcher {
        let next = Batcher::new().with_forecast(self.has_forecast);
        let before = std::mem::replace(&mut self.batcher, next);
        let zones = self.zones.clone();
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        self.set_servers(&zones);
        before
    }

    /// Restarts a server under its id.
    pub fn restart(&mut self, id: &str) -> ServerIncarnation {
        *self.restarts.entry(id.to_owned()).or_default() += 1;
        let zones = self.zones.clone();
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        self.set_servers(&zones);
        self.incarnation(id)
    }

    /// Sets the availability of the servers of a zone.
    pub fn set_availability(&mut self, zone: &str, availability: ServerAvailability) {
        self.availabilities.insert(zone.to_owned(), availability);
        let zones = self.zones.clone();
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        self.set_servers(&zones);
    }

    /// The current incarnation of a server.
    pub fn incarnation(&self, id: &str) -> ServerIncarnation {
        let restarts = self.restarts.get(id).copied().unwrap_or(0);
        let started = StartMs::new(1_000 + restarts);
        ServerIncarnation::new(id.parse().unwrap()).started_at(started)
    }

    pub fn set_servers(&mut self, zones: &[&str]) {
        self.zones = zones.iter().map(ToString::to_string).collect();
        let services = [ENCODE, RETRIEVE, RERANK];
        let bounds = CallerBounds::default();
        let routing = Routing::new(RoutingVersion::new(1), bounds).with_pools(services.map(pool));
        let incarnation = &|service: &str, index| self.incarnation(&format!("{service}-{index}"));
        let records = services.iter().flat_map(|service| {
            let servers = zones.iter().enumerate();
            servers.map(move |(index, zone)| ServerRecord {
                incarnation: incarnation(service, index),
                ..record(service, zone)
            })
        });
        let records: Vec<_> = records.collect();
        let availabilities = &self.availabilities;
        let with_availability = records.iter().map(|record| {
            let availability = availabilities.get(record.zone.as_str()).copied();
            (record, availability.unwrap_or(ServerAvailability::Free))
        });
        self.batcher
            .set_servers(&routing, with_availability, self.now);
    }

    pub fn advance(&mut self, step_ms: u64) {
        self.now += ms(step_ms);
    }

    /// Submits a job that must be accepted.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        self.batcher.submit(spec, self.now).unwrap()
    }

    pub fn next_batches(&mut self) -> Vec<Batch> {
        self.batcher.next_batches(self.now)
    }

    /// The only batch to send now.
    pub fn next_batch(&mut self) -> Batch {
        let mut batches = self.next_batches();
        assert_eq!(batches.len(), 1, "{batches:?}");
        batches.remove(0)
    }

    pub fn end(&mut self, batch: &Batch, end: BatchEnd) {
        self.batcher.batch_ended(batch.id, end, None, self.now);
    }

    /// Ends a call with all its pieces completed.
    pub fn complete(&mut self, batch: &Batch) -> Vec<ResultHandle> {
        let handles: Vec<_> = batch.items.iter().map(|_| self.handle()).collect();
        let ends = handles.iter().cloned().map(PieceEnd::Completed).collect();
        self.end(batch, BatchEnd::Pieces(ends));
        handles
    }

    pub fn handle(&mut self) -> ResultHandle {
        self.handles += 1;
        format!("10.0.0.1:80/{}", self.handles).parse().unwrap()
    }

    /// Handles of all results that are freed now.
    pub fn freed(&mut self) -> Vec<ResultHandle> {
        let requests = self.batcher.take_free_requests(|_server| true);
        for request in &requests {
            self.batcher.results_freed(request);
        }
        requests
            .into_iter()
            .flat_map(|request| request.handles)
            .collect()
    }

    /// Events that end jobs.
    pub fn events(&mut self) -> Vec<JobEvent> {
        let events = self.batcher.take_events().into_iter();
        let is_end = |event: &JobEvent| {
            matches!(
                event,
                JobEvent::Done(..) | JobEvent::Failed(..) | JobEvent::Displaced(..)
            )
        };
        events.filter(is_end).collect()
    }

    /// A job of stages that each depend on the one before.
    pub fn chain(&mut self, stages: &[(&str, usize, u64)]) -> JobSpec {
        let stages = stages.iter().enumerate();
        let stages = stages.map(|(index, (service, pieces, result_bytes))| StageSpec {
            service: service.parse().unwrap(),
            depends_on: index.checked_sub(1).into_iter().collect(),
            pieces: *pieces,
            result_bytes: *result_bytes,
        });
        self.job(stages.collect())
    }

    /// A job whose later stages all depend on the first one.
    pub fn fan_out(&mut self, stages: &[(&str, usize, u64)]) -> JobSpec {
        let mut spec = self.chain(stages);
        for stage in spec.stages.iter_mut().skip(1) {
            stage.depends_on = vec![0];
        }
        spec
    }

    /// A job of stages.
    pub fn job(&mut self, stages: Vec<StageSpec>) -> JobSpec {
        self.calls += 1;
        JobSpec {
            call: format!("call-{}", self.calls).parse().unwrap(),
            route: "route".parse().unwrap(),
            cell: Cell::SINGLE,
            piece_key: "key".to_owned(),
            stages,
            rank: Rank::default(),
            organisation: None,
            was_admitted: false,
            value_tokens: 0,
            target_latency: ms(2_000),
            target_latency_left: ms(2_000),
            deadline_left: ms(15_000),
            engine_time: DEFAULT_ENGINE_TIME,
            reader_zone: "north".parse().unwrap(),
            allowed_zones: AllowedZones::default(),
            retained: Vec::new(),
        }
    }
}

fn pool(service: &str) -> Pool {
    Pool {
        service: service.parse().unwrap(),
        max_connections: 100,
        engine: None,
        batch: Some(BatchSpec {
            slots: 1,
            max_pieces: 10,
            call_time: ms(200),
            piece_time: ms(10),
            result_capacity_bytes: CAPACITY_BYTES,
            result_retention: ms(4_000),
        }),
        cold: None,
    }
}

fn record(service: &str, zone: &str) -> ServerRecord {
    ServerRecord {
        incarnation: service.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 1,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    }
}

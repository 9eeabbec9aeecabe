//! Random runs of the batcher with everything that can happen to a call or a request.
//!
//! Invariants of every run: a job is reported at most once; each result is freed exactly once; a
//! server has one call at a time; a piece gets each result of the stages that it depends on once,
//! and the key only if there is none; no result of an ended incarnation is used.

use std::collections::{BTreeMap, BTreeSet};

use amaranthscale_core::id::{CallId, ResultHandle, ServerIncarnation};
use amaranthscale_core::process::{
    Batch, BatchEnd, BatchItem, JobEvent, JobId, JobSpec, PieceEnd, PieceInput, RetainedResult,
    StageSpec,
};
use quickcheck::{Arbitrary, Gen};

use super::fixture::{ENCODE, Fixture, RERANK, RETRIEVE};

/// Runs in CI; `AMARANTH_RANDOM_SCHEDULES` sets another number.
const DEFAULT_RUNS: u64 = 120;
/// Steps of one run.
const STEPS: usize = 400;

fn pick(random: &mut Gen, choices: u64) -> u64 {
    u64::arbitrary(random) % choices
}

/// Up to five stages of any shape: forks, joins, several first and last stages, several stages of
/// one service, and omitted ones.
fn random_stages(random: &mut Gen) -> Vec<StageSpec> {
    let sizes = [(ENCODE, 1_000), (RETRIEVE, 60_000), (RERANK, 120_000)];
    let count = 1 + usize::try_from(pick(random, 5)).unwrap();
    let stages = (0..count).map(|index| {
        let (service, result_bytes) = sizes[usize::try_from(pick(random, 3)).unwrap()];
        StageSpec {
            service: service.parse().unwrap(),
            depends_on: (0..index).filter(|_| pick(random, 2) == 0).collect(),
            pieces: usize::try_from(pick(random, 5)).unwrap(),
            result_bytes,
        }
    });
    stages.collect()
}

#[derive(Default)]
struct World {
    open: BTreeSet<JobId>,
    reported: BTreeSet<JobId>,
    running: Vec<Batch>,
    /// Stages of each call.
    stages: BTreeMap<CallId, Vec<StageSpec>>,
    /// The piece that each result was computed for.
    computed: BTreeMap<ResultHandle, (CallId, usize, usize)>,
    /// Stored results by the incarnation that stores them.
    stored: BTreeMap<ResultHandle, ServerIncarnation>,
    /// Stored results that expired, or that another owner freed, without this owner's knowledge.
    vanished: BTreeSet<ResultHandle>,
    freed: BTreeSet<ResultHandle>,
    /// What each open job's gateway knows: its spec, and the results that were reported to it.
    specs: BTreeMap<JobId, JobSpec>,
    reported_results: BTreeMap<JobId, BTreeMap<(usize, usize), RetainedResult>>,
}

impl World {
    fn submit(&mut self, fixture: &mut Fixture, random: &mut Gen) {
        let mut spec = if pick(random, 3) == 0 {
            let pieces = [pick(random, 3), 1 + pick(random, 6), pick(random, 4)];
            let pieces = pieces.map(|count| usize::try_from(count).unwrap());
            fixture.chain(&[
                (ENCODE, pieces[0], 1_000),
                (RETRIEVE, pieces[1], 60_000),
                (RERANK, pieces[2], 120_000),
            ])
        } else {
            let stages = random_stages(random);
            fixture.job(stages)
        };
        spec.value_tokens = pick(random, 5) * 1_000;
        self.submit_spec(fixture, spec);
    }

    fn submit_spec(&mut self, fixture: &mut Fixture, spec: JobSpec) {
        self.stages.insert(spec.call.clone(), spec.stages.clone());
        if let Ok(job) = fixture.batcher.submit(spec.clone(), fixture.now) {
            self.open.insert(job);
            self.reported_results.insert(job, reported_results(&spec));
            self.specs.insert(job, spec);
        }
    }

    fn release(&mut self, fixture: &mut Fixture, random: &mut Gen) {
        let count = u64::try_from(self.open.len()).unwrap();
        if count > 0 {
            let index = usize::try_from(pick(random, count)).unwrap();
            let job = *self.open.iter().nth(index).unwrap();
            self.open.remove(&job);
            fixture.batcher.release(job);
        }
    }

    fn end_call(&mut self, fixture: &mut Fixture, random: &mut Gen) {
        let count = u64::try_from(self.running.len()).unwrap();
        if count == 0 {
            return;
        }
        let batch = self
            .running
            .remove(usize::try_from(pick(random, count)).unwrap());
        let end = match pick(random, 12) {
            0 => BatchEnd::NoAnswer,
            1 => BatchEnd::Rejected,
            2 => BatchEnd::ConnectionLost,
            _ => {
                let ends = batch.items.iter();
                let ends = ends.map(|item| self.piece_end(fixture, random, &batch.server, item));
                BatchEnd::Pieces(ends.collect())
            }
        };
        fixture.end(&batch, end);
    }

    /// The owner ends, gracefully or at once, and the gateways pass the stored results to the next
    /// one.
    fn change_owner(&mut self, fixture: &mut Fixture, random: &mut Gen) {
        if pick(random, 2) == 0 {
            fixture.batcher.stop();
            while !self.running.is_empty() {
                self.end_call(fixture, random);
                self.process_events(fixture);
                assert!(fixture.next_batches().is_empty());
            }
            let handed: BTreeSet<_> = fixture.batcher.hand_over().into_iter().collect();
            let open = self.open.iter().filter(|job| !self.reported.contains(job));
            assert_eq!(handed, open.copied().collect());
        }
        fixture.change_owner();
        self.running.clear();
        let specs = std::mem::take(&mut self.specs);
        let mut previous_reported = std::mem::take(&mut self.reported_results);
        let reported = std::mem::take(&mut self.reported);
        for job in std::mem::take(&mut self.open) {
            if reported.contains(&job) {
                continue;
            }
            let reported_results = previous_reported.remove(&job).unwrap_or_default();
            let mut spec = specs[&job].clone();
            spec.retained = reported_results.into_values().collect();
            self.submit_spec(fixture, spec);
        }
        // Results that no spec names expire by themselves.
        let named = self.reported_results.values().flat_map(BTreeMap::values);
        let named: BTreeSet<_> = named.map(|piece| piece.handle.clone()).collect();
        self.stored.retain(|handle, _| named.contains(handle));
    }

    /// A server restarts: its results are gone, and a call to it may still seem to succeed.
    fn restart(&mut self, fixture: &mut Fixture, random: &mut Gen) {
        let services = [ENCODE, RETRIEVE, RERANK];
        let service = services[usize::try_from(pick(random, 3)).unwrap()];
        let id = format!("{service}-{}", pick(random, 2));
        let ended = fixture.incarnation(&id);
        fixture.restart(&id);
        self.stored.retain(|_, incarnation| *incarnation != ended);
        if pick(random, 2) == 0 {
            self.running.retain(|batch| batch.server != ended);
        }
    }

    /// Stored results vanish, as when an earlier owner that was frozen frees them on waking.
    fn lose_results(&mut self, random: &mut Gen) {
        let handles = self.stored.keys();
        let vanished = handles.filter(|_| pick(random, 3) == 0);
        self.vanished.extend(vanished.cloned());
    }

    fn piece_end(
        &mut self,
        fixture: &mut Fixture,
        random: &mut Gen,
        server: &ServerIncarnation,
        item: &BatchItem,
    ) -> PieceEnd {
        if let PieceInput::Results(inputs) = &item.input
            && inputs.iter().any(|input| self.vanished.contains(input))
        {
            return PieceEnd::InputMissing;
        }
        match pick(random, 30) {
            0 => PieceEnd::Failed,
            1 => PieceEnd::StorageFull,
            2 => PieceEnd::InputMissing,
            _ => {
                let handle = fixture.handle();
                let piece = (item.call.clone(), item.stage, item.piece);
                self.computed.insert(handle.clone(), piece);
                if fixture.incarnation(server.id().as_str()) == *server {
                    self.stored.insert(handle.clone(), server.clone());
                }
                PieceEnd::Completed(handle)
            }
        }
    }

    fn send(&mut self, fixture: &mut Fixture) {
        let batches = fixture.next_batches();
        for batch in &batches {
            assert!(batch.items.len() <= 10);
            for item in &batch.items {
                self.check_input(item);
            }
        }
        self.running.extend(batches);
        let mut calls: BTreeMap<&ServerIncarnation, usize> = BTreeMap::new();
        for batch in &self.running {
            *calls.entry(&batch.server).or_default() += 1;
        }
        assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    }

    fn check_input(&self, item: &BatchItem) {
        let stages = &self.stages[&item.call];
        let inputs = stages[item.stage].depends_on.iter();
        let expected = inputs.flat_map(|input| {
            let pieces = 0..stages[*input].pieces;
            pieces.map(|piece| (item.call.clone(), *input, piece))
        });
        let expected: Vec<_> = expected.collect();
        match &item.input {
            PieceInput::Key(_) => assert!(expected.is_empty(), "no inputs: {item:?}"),
            PieceInput::Results(inputs) => {
                assert!(!inputs.is_empty());
                assert!(inputs.iter().all(|input| self.stored.contains_key(input)));
                let computed = inputs.iter().map(|input| self.computed[input].clone());
                assert_eq!(computed.collect::<Vec<_>>(), expected, "{item:?}");
            }
        }
    }

    fn process_events(&mut self, fixture: &mut Fixture) {
        for event in fixture.batcher.take_events() {
            let job = match event {
                JobEvent::Done(job, _, _)
                | JobEvent::Failed(job, _)
                | JobEvent::Displaced(job, _) => job,
                JobEvent::ResultsStored(job, pieces) => {
                    let reported_results = self.reported_results.entry(job).or_default();
                    reported_results.extend(
                        pieces
                            .into_iter()
                            .map(|piece| ((piece.stage, piece.piece), piece)),
                    );
                    continue;
                }
                JobEvent::ConnectionLost(..) => continue,
                JobEvent::ResultsDropped(job, stage) => {
                    let reported_results = self.reported_results.entry(job).or_default();
                    reported_results.retain(|(of, _), _| *of != stage);
                    continue;
                }
            };
            assert!(self.reported.insert(job), "{job:?} is reported twice");
        }
        for handle in fixture.freed() {
            assert!(
                self.stored.remove(&handle).is_some(),
                "{handle} was never stored"
            );
            assert!(self.freed.insert(handle), "freed twice");
        }
    }
}

fn reported_results(spec: &JobSpec) -> BTreeMap<(usize, usize), RetainedResult> {
    let stored = spec.retained.iter();
    stored
        .map(|piece| ((piece.stage, piece.piece), piece.clone()))
        .collect()
}

fn run(mut fixture: Fixture, random: &mut Gen) {
    let mut world = World::default();
    for _ in 0..STEPS {
        match pick(random, 32) {
            0..8 => world.submit(&mut fixture, random),
            8..12 => world.release(&mut fixture, random),
            12 => world.restart(&mut fixture, random),
            13 if pick(random, 4) == 0 => world.change_owner(&mut fixture, random),
            14 => world.lose_results(random),
            _ => world.end_call(&mut fixture, random),
        }
        fixture.advance(pick(random, 60));
        world.send(&mut fixture);
        world.process_events(&mut fixture);
    }
    for job in std::mem::take(&mut world.open) {
        fixture.batcher.release(job);
    }
    world.process_events(&mut fixture);
    while !world.running.is_empty() {
        world.end_call(&mut fixture, random);
        world.process_events(&mut fixture);
    }
    assert!(
        world.stored.is_empty(),
        "{} results are never freed",
        world.stored.len()
    );
    assert_eq!(fixture.batcher.job_count(), 0);
    assert_eq!(fixture.batcher.queued_stages(), 0);
}

/// Number of runs, each with its own seed.
fn runs() -> u64 {
    let requested_runs = std::env::var("AMARANTH_RANDOM_SCHEDULES").ok();
    requested_runs
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(DEFAULT_RUNS)
}

#[test]
fn random_runs_keep_the_invariants() {
    for seed in 0..runs() {
        let fixture = Fixture::new(&["north", "south"]);
        run(fixture, &mut Gen::from_size_and_seed(64, seed));
    }
}

/// Displaced jobs are reported once, and their results are freed.
#[test]
fn random_runs_with_forecast_keep_the_invariants() {
    for seed in 0..runs() {
        let fixture = Fixture::with_forecast(&["north", "south"]);
        run(fixture, &mut Gen::from_size_and_seed(64, seed));
    }
}

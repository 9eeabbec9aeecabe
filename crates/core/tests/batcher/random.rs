//! Random runs of the batcher with everything that can happen to a call or a request.
//!
//! What must hold in every run: a job is reported at most once; each result is freed exactly once;
//! a server has one call at a time; a piece with inputs is given all of them; nothing names what an
//! ended life of a server kept.

use std::collections::{BTreeMap, BTreeSet};

use amaranthscale_core::id::{ResultHandle, ServerIncarnation};
use amaranthscale_core::process::{
    Batch, BatchEnd, JobEvent, JobId, JobSpec, PieceEnd, PieceInput, RetainedResult,
};
use quickcheck::{Arbitrary, Gen};

use super::bench::{Bench, ENCODE, RERANK, RETRIEVE};

/// Runs in CI; `AMARANTH_RANDOM_SCHEDULES` asks for more.
const USUAL_RUNS: u64 = 120;
/// Steps of one run.
const STEPS: usize = 400;

fn pick(random: &mut Gen, choices: u64) -> u64 {
    u64::arbitrary(random) % choices
}

#[derive(Default)]
struct World {
    open: BTreeSet<JobId>,
    reported: BTreeSet<JobId>,
    running: Vec<Batch>,
    /// Results by the life that keeps them.
    kept: BTreeMap<ResultHandle, ServerIncarnation>,
    freed: BTreeSet<ResultHandle>,
    /// What each open job's gateway knows: its order, and what it was told to be made.
    orders: BTreeMap<JobId, JobSpec>,
    told: BTreeMap<JobId, BTreeMap<(usize, usize), RetainedResult>>,
}

impl World {
    fn submit(&mut self, bench: &mut Bench, random: &mut Gen) {
        let pieces = [pick(random, 3), 1 + pick(random, 6), pick(random, 4)];
        let pieces = pieces.map(|count| usize::try_from(count).unwrap());
        let mut order = bench.chain(&[
            (ENCODE, pieces[0], 1_000),
            (RETRIEVE, pieces[1], 60_000),
            (RERANK, pieces[2], 120_000),
        ]);
        order.value_tokens = pick(random, 5) * 1_000;
        self.resubmit(bench, order);
    }

    fn resubmit(&mut self, bench: &mut Bench, order: JobSpec) {
        if let Ok(job) = bench.batcher.submit(order.clone(), bench.now) {
            self.open.insert(job);
            self.told.insert(job, told(&order));
            self.orders.insert(job, order);
        }
    }

    fn release(&mut self, bench: &mut Bench, random: &mut Gen) {
        let count = u64::try_from(self.open.len()).unwrap();
        if count > 0 {
            let index = usize::try_from(pick(random, count)).unwrap();
            let job = *self.open.iter().nth(index).unwrap();
            self.open.remove(&job);
            bench.batcher.release(job);
        }
    }

    fn end_call(&mut self, bench: &mut Bench, random: &mut Gen) {
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
                let ends = ends.map(|_| self.piece_end(bench, random, &batch.server));
                BatchEnd::Pieces(ends.collect())
            }
        };
        bench.end(&batch, end);
    }

    /// The owner ends, in order or at once, and the gateways hand what it had made to the next one.
    fn change_owner(&mut self, bench: &mut Bench, random: &mut Gen) {
        if pick(random, 2) == 0 {
            bench.batcher.stop();
            while !self.running.is_empty() {
                self.end_call(bench, random);
                self.take(bench);
                assert!(bench.next_batches().is_empty());
            }
            let handed: BTreeSet<_> = bench.batcher.hand_over().into_iter().collect();
            let open = self.open.iter().filter(|job| !self.reported.contains(job));
            assert_eq!(handed, open.copied().collect());
        }
        bench.change_owner();
        self.running.clear();
        let orders = std::mem::take(&mut self.orders);
        let mut told_before = std::mem::take(&mut self.told);
        let reported = std::mem::take(&mut self.reported);
        for job in std::mem::take(&mut self.open) {
            if reported.contains(&job) {
                continue;
            }
            let told = told_before.remove(&job).unwrap_or_default();
            let mut order = orders[&job].clone();
            order.retained = told.into_values().collect();
            self.resubmit(bench, order);
        }
        // What no order names lapses by itself.
        let named = self.told.values().flat_map(BTreeMap::values);
        let named: BTreeSet<_> = named.map(|piece| piece.handle.clone()).collect();
        self.kept.retain(|handle, _| named.contains(handle));
    }

    /// A server starts again: what it kept is gone, and a call there may still seem to end well.
    fn restart(&mut self, bench: &mut Bench, random: &mut Gen) {
        let services = [ENCODE, RETRIEVE, RERANK];
        let service = services[usize::try_from(pick(random, 3)).unwrap()];
        let id = format!("{service}-{}", pick(random, 2));
        let ended = bench.life(&id);
        bench.restart(&id);
        self.kept.retain(|_, life| *life != ended);
        if pick(random, 2) == 0 {
            self.running.retain(|batch| batch.server != ended);
        }
    }

    fn piece_end(
        &mut self,
        bench: &mut Bench,
        random: &mut Gen,
        server: &ServerIncarnation,
    ) -> PieceEnd {
        match pick(random, 30) {
            0 => PieceEnd::Failed,
            1 => PieceEnd::StorageFull,
            2 => PieceEnd::InputMissing,
            _ => {
                let handle = bench.handle();
                if bench.life(server.id().as_str()) == *server {
                    self.kept.insert(handle.clone(), server.clone());
                }
                PieceEnd::Completed(handle)
            }
        }
    }

    fn send(&mut self, bench: &mut Bench) {
        let batches = bench.next_batches();
        for batch in &batches {
            assert!(batch.items.len() <= 10);
            for item in &batch.items {
                if let PieceInput::Results(inputs) = &item.input {
                    assert!(!inputs.is_empty());
                    assert!(inputs.iter().all(|input| self.kept.contains_key(input)));
                }
            }
        }
        self.running.extend(batches);
        let mut calls: BTreeMap<&ServerIncarnation, usize> = BTreeMap::new();
        for batch in &self.running {
            *calls.entry(&batch.server).or_default() += 1;
        }
        assert!(calls.values().all(|count| *count == 1), "{calls:?}");
    }

    fn take(&mut self, bench: &mut Bench) {
        for event in bench.batcher.take_events() {
            let job = match event {
                JobEvent::Done(job, _, _) | JobEvent::Failed(job, _) => job,
                JobEvent::ResultsStored(job, pieces) => {
                    let told = self.told.entry(job).or_default();
                    told.extend(
                        pieces
                            .into_iter()
                            .map(|piece| ((piece.stage, piece.piece), piece)),
                    );
                    continue;
                }
                JobEvent::ConnectionLost(..) => continue,
                JobEvent::ResultsDropped(job, stage) => {
                    let told = self.told.entry(job).or_default();
                    told.retain(|(of, _), _| *of != stage);
                    continue;
                }
            };
            assert!(self.reported.insert(job), "{job:?} is reported twice");
        }
        for handle in bench.freed() {
            assert!(
                self.kept.remove(&handle).is_some(),
                "{handle} was never kept"
            );
            assert!(self.freed.insert(handle), "freed twice");
        }
    }
}

fn told(order: &JobSpec) -> BTreeMap<(usize, usize), RetainedResult> {
    let kept = order.retained.iter();
    kept.map(|piece| ((piece.stage, piece.piece), piece.clone()))
        .collect()
}

fn run(random: &mut Gen) {
    let mut bench = Bench::new(&["north", "south"]);
    let mut world = World::default();
    for _ in 0..STEPS {
        match pick(random, 32) {
            0..8 => world.submit(&mut bench, random),
            8..12 => world.release(&mut bench, random),
            12 => world.restart(&mut bench, random),
            13 if pick(random, 4) == 0 => world.change_owner(&mut bench, random),
            _ => world.end_call(&mut bench, random),
        }
        bench.advance(pick(random, 60));
        world.send(&mut bench);
        world.take(&mut bench);
    }
    for job in std::mem::take(&mut world.open) {
        bench.batcher.release(job);
    }
    world.take(&mut bench);
    while !world.running.is_empty() {
        world.end_call(&mut bench, random);
        world.take(&mut bench);
    }
    assert!(
        world.kept.is_empty(),
        "{} results are never freed",
        world.kept.len()
    );
    assert_eq!(bench.batcher.job_count(), 0);
    assert_eq!(bench.batcher.queued_stages(), 0);
}

#[test]
fn random_runs_keep_the_account() {
    let asked = std::env::var("AMARANTH_RANDOM_SCHEDULES").ok();
    let runs = asked
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(USUAL_RUNS);
    for seed in 0..runs {
        run(&mut Gen::from_size_and_seed(64, seed));
    }
}

//! Settlements under a random sequence of failures, by fixed seeds.
//!
//! Kills, freezes, silent and cut connections, outages, lost answers and late writes come one on
//! top of the other while settlements are made. Afterwards everything is mended, and each settlement
//! that was not refused as not run is asked for again until its answer is final.

mod support;

use std::time::Duration;

use amaranthscale_standins::backend::BackendFaults;
use amaranthscale_standins::platform::PlatformFaults;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{
    Answer, AnswerChecker, BackendPlan, BasinPlan, DeltaBasin, Request, kill, pause, resume,
};
use tokio::task::JoinHandle;

/// Failures in one run.
const STEPS: usize = 24;
/// Settlements made between two failures.
const SETTLEMENTS_A_STEP: usize = 2;
/// Time between two failures, so that work is under way at each.
const STEP: Duration = Duration::from_millis(150);
/// Makes a call of the stand-in take about as long as two steps, so that failures meet it half-way.
const SLOW_FACTOR: f64 = 60.0;
/// Deadline of a settlement while failures go on.
const DEADLINE_MS: &str = "5000";

/// What fails next.
#[derive(Debug, Clone, Copy)]
enum Failure {
    SilentConnections,
    CutConnections,
    Outage,
    LostAnswers(u32),
    LateWrites(u32),
    EntryFrozen(bool),
    SidecarFrozen(bool),
    EntryKilled,
    SidecarKilled,
}

/// A run: the processes, the failures under way, and what was asked.
struct Run {
    basin: DeltaBasin,
    random: SmallRng,
    is_entry_frozen: bool,
    is_sidecar_frozen: bool,
    is_platform_away: bool,
    entries_started: u32,
    asked: Vec<(Request, Vec<JoinHandle<Option<Answer>>>)>,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let backends = [1, 2].map(|number| BackendPlan::ledger(number).with_relay());
        let basin = DeltaBasin::start(BasinPlan::new(backends)).await;
        for backend in &basin.backends {
            let slow_factor = Some(SLOW_FACTOR);
            let slow = BackendFaults {
                slow_factor,
                ..BackendFaults::default()
            };
            backend.set_faults(slow).await;
        }
        Self {
            basin,
            random: SmallRng::seed_from_u64(seed),
            is_entry_frozen: false,
            is_sidecar_frozen: false,
            is_platform_away: false,
            entries_started: 0,
            asked: Vec::new(),
        }
    }

    async fn step(&mut self, step: usize) {
        for number in 0..SETTLEMENTS_A_STEP {
            let settlement = Request::settlement(&format!("step-{step}-{number}"));
            let short = settlement.clone().with_deadline(DEADLINE_MS);
            let ask = |entry| short.send_in_background(entry);
            // Every second clerk loses patience and asks at both entries at once.
            let answers = if number % 2 == 0 {
                self.basin.entries.iter().map(ask).collect()
            } else {
                let entry = self.random.random_range(0..self.basin.entries.len());
                vec![ask(&self.basin.entries[entry])]
            };
            self.asked.push((settlement, answers));
        }
        // The callers' tasks get to send before the next failure.
        tokio::time::sleep(STEP).await;
        // An outage lasts for one step; a longer one would only have all settlements refused.
        if self.is_platform_away {
            self.set_outage(false).await;
        }
        let failure = self.next_failure();
        self.fail(failure).await;
    }

    fn next_failure(&mut self) -> Failure {
        match self.random.random_range(0..9) {
            0 => Failure::SilentConnections,
            1 => Failure::CutConnections,
            2 => Failure::Outage,
            3 => Failure::LostAnswers(self.random.random_range(1..4)),
            4 => Failure::LateWrites(self.random.random_range(1..4)),
            5 => Failure::EntryFrozen(!self.is_entry_frozen),
            6 => Failure::SidecarFrozen(!self.is_sidecar_frozen),
            7 => Failure::EntryKilled,
            _ => Failure::SidecarKilled,
        }
    }

    async fn fail(&mut self, failure: Failure) {
        println!("failure: {failure:?}");
        match failure {
            Failure::SilentConnections => {
                self.basin.backends[0].relay().silence_open().await;
            }
            Failure::CutConnections => {
                self.basin.backends[1].relay().cut_open().await;
            }
            Failure::Outage => self.set_outage(true).await,
            Failure::LostAnswers(count) => {
                let lose_answers = Some(count);
                let faults = PlatformFaults {
                    lose_answers,
                    ..PlatformFaults::default()
                };
                self.basin.platform.set_faults(faults).await;
            }
            Failure::LateWrites(count) => self.late_writes(count).await,
            Failure::EntryFrozen(is_frozen) => self.freeze_entry(is_frozen),
            Failure::SidecarFrozen(is_frozen) => self.freeze_sidecar(is_frozen),
            Failure::EntryKilled => self.replace_entry().await,
            Failure::SidecarKilled => {
                kill(&mut self.basin.backends[1].sidecar);
                self.basin.replace_sidecar(1).await;
            }
        }
    }

    async fn set_outage(&mut self, is_away: bool) {
        self.basin.platform.set_outage(is_away).await;
        self.is_platform_away = is_away;
    }

    async fn late_writes(&self, count: u32) {
        let faults = PlatformFaults {
            late_effects: Some(count),
            late_effect_ms: Some(2000),
            ..PlatformFaults::default()
        };
        self.basin.platform.set_faults(faults).await;
    }

    fn freeze_entry(&mut self, is_frozen: bool) {
        let process = &mut self.basin.entries[0].process;
        if is_frozen {
            pause(process);
        } else {
            resume(process);
        }
        self.is_entry_frozen = is_frozen;
    }

    fn freeze_sidecar(&mut self, is_frozen: bool) {
        let process = &mut self.basin.backends[0].sidecar;
        if is_frozen {
            pause(process);
        } else {
            resume(process);
        }
        self.is_sidecar_frozen = is_frozen;
    }

    /// Kills the entry that is never frozen, and starts another.
    async fn replace_entry(&mut self) {
        let mut entry = self.basin.entries.remove(1);
        kill(&mut entry.process);
        self.entries_started += 1;
        let host = format!("replacement-{}", self.entries_started);
        self.basin.add_entry(&host).await;
    }

    /// Mends everything, and waits until each entry knows all hosts as they are now.
    async fn mend(&mut self) {
        self.set_outage(false).await;
        self.late_writes(0).await;
        if self.is_entry_frozen {
            self.freeze_entry(false);
        }
        if self.is_sidecar_frozen {
            self.freeze_sidecar(false);
        }
        let version = self.basin.platform.host_list_version().await;
        for entry in &self.basin.entries {
            entry.wait_for_tree(1).await;
            entry.wait_for_host_list(version).await;
        }
    }

    /// Asks for each settlement until its answer is final, and judges all answers.
    ///
    /// What was refused as not run is left at that: it must never show up as executed.
    async fn check_answers(mut self) {
        let (mut checker, mut complete, mut not_run) = (AnswerChecker::default(), 0, 0);
        for (settlement, answers) in std::mem::take(&mut self.asked) {
            let mut is_not_run = true;
            for answer in answers {
                let answer = answer.await.expect("the caller's task ends");
                is_not_run &= answer.as_ref().is_some_and(|answer| answer.ran == "no");
                checker.record(&settlement, answer);
            }
            if is_not_run {
                not_run += 1;
                continue;
            }
            let last = settlement.send_until_final(&self.basin.entries[0]).await;
            assert!(matches!(last.code, 1000 | 4001), "{settlement:?}: {last:?}");
            complete += usize::from(last.is_complete());
            checker.record(&settlement, Some(last));
        }
        for backend in &self.basin.backends {
            backend.wait_for_unsettled(0).await;
        }
        checker.check(&self.basin.executions().await);
        println!("complete: {complete}, not run: {not_run}");
        assert!(complete > STEPS / 2, "settlements go through all the same");
    }
}

/// Clerks settle through the worst day of the year. Whatever came, each settlement was paid at most
/// once, each receipt is its own, and whoever was told "not run" was not charged.
async fn settlements_survive_failures(seed: u64) {
    let mut run = Run::start(seed).await;
    for step in 0..STEPS {
        run.step(step).await;
    }
    run.mend().await;
    run.check_answers().await;
}

#[tokio::test]
async fn settlements_survive_failures_of_seed_1() {
    settlements_survive_failures(1).await;
}

#[tokio::test]
async fn settlements_survive_failures_of_seed_2() {
    settlements_survive_failures(2).await;
}

#[tokio::test]
async fn settlements_survive_failures_of_seed_3() {
    settlements_survive_failures(3).await;
}

#[tokio::test]
async fn settlements_survive_failures_of_seed_4() {
    settlements_survive_failures(4).await;
}

//! Settlements under random sequences of failures, with fixed seeds.
//!
//! Kills, pauses, silent and closed connections, outages, lost answers, late writes and a server that
//! turns calls away overlap while settlements are made. Then all failures end, and each settlement that was not refused as not run
//! is sent again until its answer is final.

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

/// Number of failures in a run.
const STEPS: usize = 24;
/// Settlements made between two failures.
const SETTLEMENTS_PER_STEP: usize = 2;
/// Time between two failures, so that calls are in progress at each failure.
const STEP_DURATION: Duration = Duration::from_millis(150);
/// Makes a call take about as long as two steps, so that failures occur while it runs.
const SLOW_FACTOR: f64 = 60.0;
/// Calls of all steps that may come later than half a second after one was turned away.
const MAX_CALLS_IN_BACKOFF: u32 = 2;
/// Deadline of a settlement during failures.
const DEADLINE_MS: &str = "5000";

/// A failure, or the end of a pause.
#[derive(Debug, Clone, Copy)]
enum Failure {
    SilentConnections,
    ClosedConnections,
    Outage,
    LostAnswers(u32),
    LateWrites(u32),
    EntryPaused(bool),
    SidecarPaused(bool),
    EntryKilled,
    SidecarKilled,
    TurnedAway(u32),
}

/// The processes, current failures and requests of a run.
struct Run {
    basin: DeltaBasin,
    random: SmallRng,
    is_entry_paused: bool,
    is_sidecar_paused: bool,
    is_platform_unavailable: bool,
    entries_started: u32,
    requests: Vec<(Request, Vec<JoinHandle<Option<Answer>>>)>,
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
            is_entry_paused: false,
            is_sidecar_paused: false,
            is_platform_unavailable: false,
            entries_started: 0,
            requests: Vec::new(),
        }
    }

    async fn step(&mut self, step: usize) {
        for number in 0..SETTLEMENTS_PER_STEP {
            let settlement = Request::settlement(&format!("step-{step}-{number}"));
            let short = settlement.clone().with_deadline(DEADLINE_MS);
            let send = |entry| short.send_in_background(entry);
            // Every second settlement is sent to both entries at once.
            let answers = if number % 2 == 0 {
                self.basin.entries.iter().map(send).collect()
            } else {
                let entry = self.random.random_range(0..self.basin.entries.len());
                vec![send(&self.basin.entries[entry])]
            };
            self.requests.push((settlement, answers));
        }
        // Gives the callers' tasks time to send before the next failure.
        tokio::time::sleep(STEP_DURATION).await;
        // An outage lasts for one step; in a longer one, all settlements would just be refused.
        if self.is_platform_unavailable {
            self.set_outage(false).await;
        }
        let failure = self.next_failure();
        self.fail(failure).await;
    }

    fn next_failure(&mut self) -> Failure {
        match self.random.random_range(0..10) {
            0 => Failure::SilentConnections,
            1 => Failure::ClosedConnections,
            2 => Failure::Outage,
            3 => Failure::LostAnswers(self.random.random_range(1..4)),
            4 => Failure::LateWrites(self.random.random_range(1..4)),
            5 => Failure::EntryPaused(!self.is_entry_paused),
            6 => Failure::SidecarPaused(!self.is_sidecar_paused),
            7 => Failure::EntryKilled,
            8 => Failure::SidecarKilled,
            _ => Failure::TurnedAway(self.random.random_range(200..2_000)),
        }
    }

    async fn fail(&mut self, failure: Failure) {
        println!("failure: {failure:?}");
        match failure {
            Failure::SilentConnections => {
                self.basin.backends[0].relay().silence_open().await;
            }
            Failure::ClosedConnections => {
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
            Failure::LateWrites(count) => self.set_late_writes(count).await,
            Failure::EntryPaused(is_paused) => self.set_entry_paused(is_paused),
            Failure::SidecarPaused(is_paused) => self.set_sidecar_paused(is_paused),
            Failure::EntryKilled => self.replace_entry().await,
            Failure::SidecarKilled => {
                kill(&mut self.basin.backends[1].sidecar);
                self.basin.replace_sidecar(1).await;
            }
            Failure::TurnedAway(time_ms) => self.turn_away(time_ms).await,
        }
    }

    /// Makes the backend server whose sidecar is never killed turn calls away for a while.
    async fn turn_away(&self, time_ms: u32) {
        let faults = BackendFaults {
            turn_away_s: Some(f64::from(time_ms) / 1_000.0),
            ..BackendFaults::default()
        };
        self.basin.backends[0].set_faults(faults).await;
    }

    async fn set_outage(&mut self, is_unavailable: bool) {
        self.basin.platform.set_outage(is_unavailable).await;
        self.is_platform_unavailable = is_unavailable;
    }

    async fn set_late_writes(&self, count: u32) {
        let faults = PlatformFaults {
            late_effects: Some(count),
            late_effect_ms: Some(2000),
            ..PlatformFaults::default()
        };
        self.basin.platform.set_faults(faults).await;
    }

    fn set_entry_paused(&mut self, is_paused: bool) {
        let process = &mut self.basin.entries[0].process;
        if is_paused {
            pause(process);
        } else {
            resume(process);
        }
        self.is_entry_paused = is_paused;
    }

    fn set_sidecar_paused(&mut self, is_paused: bool) {
        let process = &mut self.basin.backends[0].sidecar;
        if is_paused {
            pause(process);
        } else {
            resume(process);
        }
        self.is_sidecar_paused = is_paused;
    }

    /// Kills the entry that is never paused and starts another.
    async fn replace_entry(&mut self) {
        let mut entry = self.basin.entries.remove(1);
        kill(&mut entry.process);
        self.entries_started += 1;
        let host = format!("replacement-{}", self.entries_started);
        self.basin.add_entry(&host).await;
    }

    /// Ends all failures and waits until each entry has the current host list.
    async fn end_failures(&mut self) {
        self.set_outage(false).await;
        self.set_late_writes(0).await;
        self.turn_away(0).await;
        if self.is_entry_paused {
            self.set_entry_paused(false);
        }
        if self.is_sidecar_paused {
            self.set_sidecar_paused(false);
        }
        let version = self.basin.platform.host_list_version().await;
        for entry in &self.basin.entries {
            entry.wait_for_tree(1).await;
            entry.wait_for_host_list(version).await;
        }
    }

    /// Sends each settlement until its answer is final and checks all answers.
    ///
    /// Settlements that were refused as not run are not sent again: they must not have run.
    async fn check_answers(mut self) {
        let (mut checker, mut complete, mut not_run) = (AnswerChecker::default(), 0, 0);
        for (settlement, answers) in std::mem::take(&mut self.requests) {
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
        let calls_in_backoff = self.basin.backends[0].calls_in_backoff().await;
        assert!(
            calls_in_backoff <= MAX_CALLS_IN_BACKOFF,
            "{calls_in_backoff} calls at a server that wanted none"
        );
        checker.check(&self.basin.executions().await);
        println!("complete: {complete}, not run: {not_run}");
        assert!(
            complete > STEPS / 2,
            "settlements complete despite failures"
        );
    }
}

/// Guards against combinations of failures after which a settlement runs twice, a receipt belongs
/// to another settlement, or one runs although it was reported as not run.
async fn settlements_survive_failures(seed: u64) {
    let mut run = Run::start(seed).await;
    for step in 0..STEPS {
        run.step(step).await;
    }
    run.end_failures().await;
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

//! Signals and waits for answers that fail the test on an error.

use tokio::task::JoinHandle;

use super::{Answer, ChildProcess};

/// Kills a process (SIGKILL).
pub fn kill(process: &mut ChildProcess) {
    process.kill().expect("the process is killed");
}

/// Pauses a process (SIGSTOP).
pub fn pause(process: &mut ChildProcess) {
    process.pause().expect("the process is paused");
}

/// Resumes a paused process (SIGCONT).
pub fn resume(process: &mut ChildProcess) {
    process.resume().expect("the process is resumed");
}

/// Requests a graceful stop of a process (SIGTERM).
pub fn terminate(process: &mut ChildProcess) {
    process.terminate().expect("the signal is sent");
}

/// Waits for the answer to a request; fails the test if there is none.
pub async fn await_answer(pending: JoinHandle<Option<Answer>>) -> Answer {
    let answer = pending.await.expect("the caller's task ends");
    answer.expect("the entry answers")
}

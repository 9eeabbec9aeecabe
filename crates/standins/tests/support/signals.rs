//! Signals that must go through, and answers that must come.

use tokio::task::JoinHandle;

use super::{Answer, ChildProcess};

/// Kills a process (SIGKILL).
pub fn kill(process: &mut ChildProcess) {
    process.kill().expect("the process is killed");
}

/// Freezes a process (SIGSTOP).
pub fn freeze(process: &mut ChildProcess) {
    process.pause().expect("the process is frozen");
}

/// Lets a frozen process go on (SIGCONT).
pub fn wake(process: &mut ChildProcess) {
    process.resume().expect("the process goes on");
}

/// Asks a process to end in good order (SIGTERM).
pub fn terminate(process: &mut ChildProcess) {
    process.terminate().expect("the process is asked to end");
}

/// Waits for the answer to a request, which must have one.
pub async fn answer_of(asking: JoinHandle<Option<Answer>>) -> Answer {
    let answer = asking.await.expect("the caller's task ends");
    answer.expect("the entry answers")
}

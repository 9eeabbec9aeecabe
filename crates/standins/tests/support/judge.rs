//! Judges answers by the record of what was executed.

use std::collections::BTreeMap;

use amaranthscale_standins::service::ServiceExecution;

use super::{Answer, Request};

/// Judges answers by the record of what was executed.
#[derive(Debug, Default)]
pub struct Judge {
    asked: Vec<(Request, Option<Answer>)>,
}

impl Judge {
    /// Takes note of an answer; none if the connection ended without one.
    pub fn take(&mut self, request: &Request, answer: Option<Answer>) {
        self.asked.push((request.clone(), answer));
    }

    /// Fails the test if a call ran twice, ran though it was refused as not run, or if an answer
    /// belongs to another request.
    pub fn check(&self, executions: &[ServiceExecution]) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for execution in executions {
            *runs.entry(execution.body_digest.clone()).or_default() += 1;
        }
        for (request, answer) in &self.asked {
            let digest = request.digest();
            let count = runs.get(&digest).copied().unwrap_or_default();
            assert!(count <= 1, "{count} executions of {request:?}");
            self.check_not_run(&digest, count);
            let Some(answer) = answer.as_ref().filter(|answer| answer.is_complete()) else {
                continue;
            };
            let answered = answer.body_digest();
            assert_eq!(answered, Some(digest.as_str()), "not the own answer");
            assert_eq!(count, 1, "complete without an execution: {request:?}");
        }
    }

    fn check_not_run(&self, digest: &str, count: usize) {
        let mut answers = self
            .asked
            .iter()
            .filter(|(request, _)| request.digest() == digest)
            .map(|(_, answer)| answer);
        let are_all_not_run = answers.all(|answer| {
            let ran = answer.as_ref().map(|answer| answer.ran.as_str());
            ran == Some("no")
        });
        if are_all_not_run {
            assert_eq!(count, 0, "a call refused as not run was executed");
        }
    }
}

//! Checks answers against the recorded executions.

use std::collections::BTreeMap;

use amaranthscale_standins::service::ServiceExecution;

use super::{Answer, Request};

/// Checks answers against the recorded executions.
#[derive(Debug, Default)]
pub struct AnswerChecker {
    requests: Vec<(Request, Option<Answer>)>,
}

impl AnswerChecker {
    /// Records the answer to a request; `None` if the connection ended without one.
    pub fn record(&mut self, request: &Request, answer: Option<Answer>) {
        self.requests.push((request.clone(), answer));
    }

    /// Fails the test if a call ran twice, if it ran although every answer stated that it did not,
    /// or if an answer belongs to another request.
    pub fn check(&self, executions: &[ServiceExecution]) {
        let mut execution_counts: BTreeMap<String, usize> = BTreeMap::new();
        for execution in executions {
            *execution_counts
                .entry(execution.body_digest.clone())
                .or_default() += 1;
        }
        for (request, answer) in &self.requests {
            let digest = request.digest();
            let count = execution_counts.get(&digest).copied().unwrap_or_default();
            assert!(count <= 1, "{count} executions of {request:?}");
            self.check_not_run(&digest, count);
            let Some(answer) = answer.as_ref().filter(|answer| answer.is_complete()) else {
                continue;
            };
            let answer_digest = answer.body_digest();
            assert_eq!(
                answer_digest,
                Some(digest.as_str()),
                "the answer to another request"
            );
            assert_eq!(
                count, 1,
                "answered as complete without an execution: {request:?}"
            );
        }
    }

    fn check_not_run(&self, digest: &str, count: usize) {
        let mut answers = self
            .requests
            .iter()
            .filter(|(request, _)| request.digest() == digest)
            .map(|(_, answer)| answer);
        let are_all_not_run = answers.all(|answer| {
            let ran = answer.as_ref().map(|answer| answer.ran.as_str());
            ran == Some("no")
        });
        if are_all_not_run {
            assert_eq!(count, 0, "a call that was reported as not run was executed");
        }
    }
}

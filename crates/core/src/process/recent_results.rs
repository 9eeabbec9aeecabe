//! Ties the answers of a stage server to the calls on one connection.
//!
//! Answers to batches name no call: they are matched by their order. A server in trouble may send
//! an answer once more, where the next one is expected, and the pieces of one request would get the
//! results of another. A handle names one result, so an answer with a handle that the connection
//! has carried before is an earlier one. An answer without handles shows nothing, and the next one
//! on its connection could be its repetition, so the connection is not used again.

use std::collections::{BTreeSet, VecDeque};

use super::{BatchEnd, PieceEnd};
use crate::id::ResultHandle;

/// Answers whose results are remembered: more than can be outstanding on a connection.
const MAX_ANSWERS: usize = 16;

/// Which call an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// To the call that was made last: it names new results.
    Current,
    /// To an earlier call, whose results it names again.
    Earlier,
    /// Not known: it names no results.
    Unknown,
}

/// Results that the recent answers on one connection have named.
///
/// # Examples
///
/// ```
/// use amaranthscale_core::process::{AnswerOrigin, BatchEnd, PieceEnd, RecentResults};
///
/// let answer = BatchEnd::Pieces(vec![PieceEnd::Completed("10.0.0.1:80/1".parse()?)]);
/// let mut recent_results = RecentResults::default();
/// assert_eq!(recent_results.record(&answer), AnswerOrigin::Current);
/// assert_eq!(recent_results.record(&answer), AnswerOrigin::Earlier);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentResults {
    answers: VecDeque<BTreeSet<ResultHandle>>,
}

impl RecentResults {
    /// Records an answer; returns which call it belongs to.
    pub fn record(&mut self, answer: &BatchEnd) -> AnswerOrigin {
        let handles = handles(answer);
        if handles.is_empty() {
            return AnswerOrigin::Unknown;
        }
        if !self.answers.iter().all(|known| known.is_disjoint(&handles)) {
            return AnswerOrigin::Earlier;
        }
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(handles);
        AnswerOrigin::Current
    }
}

fn handles(answer: &BatchEnd) -> BTreeSet<ResultHandle> {
    let BatchEnd::Pieces(ends) = answer else {
        return BTreeSet::new();
    };
    let handles = ends.iter().filter_map(|end| match end {
        PieceEnd::Completed(handle) => Some(handle.clone()),
        _ => None,
    });
    handles.collect()
}
